import { isQuorum, quorumValue, voterIds } from "./membership.ts";
import { broadcast } from "./replication.ts";
import type { StepContext } from "./step-context.ts";

/**
 * Renews the lease, counted from the sending of the latest request that a majority of the voters has answered. There
 * is no lease before an entry of the leader's own term is committed, because the leader's commit index may be behind
 * until then.
 */
export function extendLease(ctx: StepContext): void {
    const { state } = ctx;
    const committedInTerm = state.commitIndex >= state.termStartIndex || !ctx.enforces("read-after-own-commit");
    if (state.role !== "leader" || !committedInTerm) {
        return;
    }
    if (state.handOver?.requestSent === true && ctx.enforces("hand-over-ends-lease")) {
        return;
    }
    const quorumSentAt = quorumValue(
        state.membership,
        id => id === ctx.id ? ctx.now : state.peers.get(id)?.lastAnsweredSentAt ?? -Infinity,
    );
    const durationMs = ctx.enforces("lease-within-promise")
        ? ctx.options.leaseMs
        : ctx.options.electionTimeoutMinMs;
    const until = quorumSentAt + durationMs;
    if (until > ctx.now && until > (state.leaseUntil ?? -Infinity)) {
        ctx.setLease(until);
    }
}

export function holdsLease(ctx: StepContext): boolean {
    const { role, leaseUntil } = ctx.state;
    return role === "leader" && leaseUntil !== undefined && ctx.now < leaseUntil;
}

/** Answers a read immediately under the lease; else asks a quorum to confirm that this node is still the leader. */
export function handleRead(ctx: StepContext, id: string): void {
    const { state } = ctx;
    if (state.role !== "leader") {
        ctx.refuse(id, "not-leader");
        return;
    }
    const index = ctx.enforces("read-after-own-commit")
        ? Math.max(state.commitIndex, state.termStartIndex)
        : state.commitIndex;
    if (holdsLease(ctx) && state.commitIndex >= index) {
        ctx.effects.push({ type: "read-ready", id, index });
        return;
    }
    state.readRound += 1;
    state.pendingReads.push({ id, index, round: state.readRound });
    broadcast(ctx, true);
    confirmReads(ctx);
}

/** Answers the pending reads that a majority of the voters has confirmed. */
export function confirmReads(ctx: StepContext): void {
    const { state } = ctx;
    if (state.pendingReads.length === 0) {
        return;
    }
    state.pendingReads = state.pendingReads.filter(read => {
        const confirming = voterIds(state.membership)
            .filter(id => id === ctx.id || (state.peers.get(id)?.lastAnsweredRound ?? -1) >= read.round);
        const confirmed = isQuorum(state.membership, confirming) || !ctx.enforces("read-waits-for-quorum");
        if (confirmed && state.commitIndex >= read.index) {
            ctx.effects.push({ type: "read-ready", id: read.id, index: read.index });
            return false;
        }
        return true;
    });
}
