import type { Core } from "./core.ts";
import { lastIndex, lastTerm } from "./log.ts";
import type { HandOverRequest, PreVoteReply, PreVoteRequest, VoteReply, VoteRequest } from "./messages.ts";
import { becomeFollower, recordVote, startElection } from "./roles.ts";

/** True while this voter's promise to its leader holds, so that it may not help to elect another. */
export function keepsPromise(core: Core): boolean {
    const { state } = core;
    return state.role === "leader" || core.now < state.leaderContactAt + core.options.electionTimeoutMinMs;
}

function logIsUpToDate(core: Core, req: PreVoteRequest | VoteRequest): boolean {
    const ownTerm = lastTerm(core.state);
    return req.lastTerm > ownTerm || (req.lastTerm === ownTerm && req.lastIndex >= lastIndex(core.state));
}

export function handlePreVote(core: Core, req: PreVoteRequest): void {
    const granted = req.asked > core.state.term && !keepsPromise(core) && logIsUpToDate(core, req);
    core.sendDurably(req.from, { type: "pre-vote-reply", asked: req.asked, granted });
}

export function handlePreVoteReply(core: Core, reply: PreVoteReply): void {
    const { state } = core;
    if (state.role === "pre-candidate" && reply.granted && reply.asked === state.term + 1) {
        recordVote(core, reply.from);
    }
}

export function handleVote(core: Core, req: VoteRequest): void {
    const { state } = core;
    const free = state.votedFor === undefined || state.votedFor === req.from || !core.enforces("one-vote-a-term");
    const upToDate = logIsUpToDate(core, req) || !core.enforces("candidate-log-up-to-date");
    const granted = free && upToDate;
    if (granted) {
        if (state.role === "pre-candidate") {
            becomeFollower(core, state.term, undefined);
        }
        state.electionDeadline = core.randomElectionDeadline();
        if (state.votedFor !== req.from) {
            state.votedFor = req.from;
            core.saveState(true);
        }
    }
    core.sendDurably(req.from, { type: "vote-reply", granted });
}

export function handleVoteReply(core: Core, reply: VoteReply): void {
    if (core.state.role === "candidate" && reply.granted) {
        recordVote(core, reply.from);
    }
}

export function handleHandOver(core: Core, req: HandOverRequest): void {
    if (core.isVoter && core.state.role === "follower" && core.state.leader === req.from) {
        startElection(core, true);
    }
}
