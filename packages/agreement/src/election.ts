import { lastIndex, lastTerm } from "./log.ts";
import type { HandOverRequest, PreVoteReply, PreVoteRequest, VoteReply, VoteRequest } from "./messages.ts";
import { becomeFollower, recordVote, startElection } from "./roles.ts";
import type { StepContext } from "./step-context.ts";

/**
 * Whether this node must not help to elect another leader: it leads, or the minimum election timeout has not passed
 * since its last contact with a leader.
 */
export function withholdsVotes(ctx: StepContext): boolean {
    const { state } = ctx;
    return state.role === "leader" || ctx.now < state.lastLeaderContactAt + ctx.options.electionTimeoutMinMs;
}

function logIsUpToDate(ctx: StepContext, req: PreVoteRequest | VoteRequest): boolean {
    const ownLastTerm = lastTerm(ctx.state);
    return req.lastTerm > ownLastTerm || (req.lastTerm === ownLastTerm && req.lastIndex >= lastIndex(ctx.state));
}

/**
 * Whether this node takes precedence over the sender: of two nodes that campaign at the same time with equal logs, the
 * one with the smaller id continues. Without this rule, repeated split votes left a group without a leader for 1,890 ms
 * at 5 ms link delay without message loss. The rule ends after some campaigns, because messages from the preferred node
 * may arrive while replies to it do not.
 */
function hasPrecedence(ctx: StepContext, req: PreVoteRequest): boolean {
    const { role, campaignCount } = ctx.state;
    const isCampaigning = role === "pre-candidate" || role === "candidate";
    const equalLogs = req.lastIndex === lastIndex(ctx.state) && req.lastTerm === lastTerm(ctx.state);
    return isCampaigning && campaignCount <= maxPrecedenceCampaigns && equalLogs && ctx.id < req.from;
}

const maxPrecedenceCampaigns = 2;

export function handlePreVote(ctx: StepContext, req: PreVoteRequest): void {
    const mayVote = !withholdsVotes(ctx) && !hasPrecedence(ctx, req);
    const granted = req.asked > ctx.state.term && mayVote && logIsUpToDate(ctx, req);
    ctx.sendAfterSync(req.from, { type: "pre-vote-reply", asked: req.asked, granted });
}

export function handlePreVoteReply(ctx: StepContext, reply: PreVoteReply): void {
    const { state } = ctx;
    if (state.role === "pre-candidate" && reply.granted && reply.asked === state.term + 1) {
        recordVote(ctx, reply.from);
    }
}

export function handleVote(ctx: StepContext, req: VoteRequest): void {
    const { state } = ctx;
    const mayVote = state.votedFor === undefined || state.votedFor === req.from || !ctx.enforces("one-vote-a-term");
    const upToDate = logIsUpToDate(ctx, req) || !ctx.enforces("candidate-log-up-to-date");
    const granted = mayVote && upToDate;
    if (granted) {
        if (state.role === "pre-candidate") {
            becomeFollower(ctx, state.term, undefined);
        }
        state.electionDeadline = ctx.randomElectionDeadline();
        if (state.votedFor !== req.from) {
            state.votedFor = req.from;
            ctx.saveState(true);
        }
    }
    ctx.sendAfterSync(req.from, { type: "vote-reply", granted });
}

export function handleVoteReply(ctx: StepContext, reply: VoteReply): void {
    if (ctx.state.role === "candidate" && reply.granted) {
        recordVote(ctx, reply.from);
    }
}

export function handleHandOver(ctx: StepContext, req: HandOverRequest): void {
    if (ctx.isVoter && ctx.state.role === "follower" && ctx.state.leader === req.from) {
        ctx.state.campaignCount = 1;
        startElection(ctx, true);
    }
}
