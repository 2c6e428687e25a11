import { lastIndex } from "./log.ts";
import { changeMembership, isMember } from "./membership.ts";
import { appendAsLeader } from "./roles.ts";
import type { StepContext } from "./step-context.ts";
import type { EntryContent, MembershipChange, NodeId, RefusalReason } from "./types.ts";

function proposalRefusal(ctx: StepContext): RefusalReason | undefined {
    const { state, options } = ctx;
    if (state.role !== "leader") {
        return "not-leader";
    }
    if (state.handOver !== undefined) {
        return "handing-over";
    }
    return lastIndex(state) - state.commitIndex >= options.maxUncommittedEntries ? "overloaded" : undefined;
}

function appendProposal(ctx: StepContext, id: string, content: EntryContent): void {
    const index = appendAsLeader(ctx, content);
    ctx.effects.push({ type: "proposed", id, index, term: ctx.state.term });
}

export function handlePropose(ctx: StepContext, id: string, command: string): void {
    const reason = proposalRefusal(ctx);
    if (reason === undefined) {
        appendProposal(ctx, id, { kind: "command", command });
    }
    else {
        ctx.refuse(id, reason);
    }
}

export function handleMembershipChange(ctx: StepContext, id: string, change: MembershipChange): void {
    const reason = proposalRefusal(ctx) ?? membershipChangeRefusal(ctx, change);
    if (reason !== undefined) {
        ctx.refuse(id, reason);
        return;
    }
    const membership = changeMembership(ctx.state.membership, change);
    if (typeof membership === "string") {
        ctx.refuse(id, membership);
        return;
    }
    appendProposal(ctx, id, { kind: "membership", membership });
}

function membershipChangeRefusal(ctx: StepContext, change: MembershipChange): RefusalReason | undefined {
    const { state } = ctx;
    if (state.commitIndex < state.termStartIndex && ctx.enforces("change-after-own-commit")) {
        return "not-ready";
    }
    if (state.membershipIndex > state.commitIndex && ctx.enforces("one-change-at-a-time")) {
        return "change-in-progress";
    }
    state.lostMembers = state.lostMembers.filter(id => isMember(state.membership, id));
    if (change.kind === "add-learner" && change.replaces !== undefined && isMember(state.membership, change.replaces)) {
        state.lostMembers.push(change.replaces);
        return "remove-lost-first";
    }
    if (state.lostMembers.length > 0 && !(change.kind === "remove" && state.lostMembers.includes(change.id))) {
        return "remove-lost-first";
    }
    if ((change.kind === "remove" || change.kind === "demote") && change.id === ctx.id) {
        // A leader that is not a voter would complicate the quorums, so it must first hand over the leadership.
        return "invalid-change";
    }
    return change.kind === "promote" && !isCaughtUp(ctx, change.id) ? "not-caught-up" : undefined;
}

/**
 * Whether a member holds all entries that the log had a short time ago, and so still answers. Whether it holds the
 * newest ones as well would depend on the moment: under steady changes, one that takes longer to answer than the other
 * members always lacks some.
 */
function isCaughtUp({ state, now, options }: StepContext, id: NodeId): boolean {
    const peer = state.peers.get(id);
    return peer !== undefined && now - peer.caughtUpAt < options.electionTimeoutMinMs;
}
