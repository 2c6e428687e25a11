import { isQuorum, quorumValue, voterIds } from "./membership.ts";
import { broadcast } from "./replication.ts";
import type { StepContext } from "./step-context.ts";

/**
 * Renews the lease from the sending that a majority of the voters has answered. Before an entry of the leader's
 * own term is committed there is no lease, because the leader may not know the newest commit.
 */
export function extendLease(core: StepContext): void {
    const { state } = core;
    const ready = state.commitIndex >= state.termStartIndex || !core.enforces("read-after-own-commit");
    if (state.role !== "leader" || !ready) {
        return;
    }
    if (state.handOver?.sent === true && core.enforces("hand-over-ends-lease")) {
        return;
    }
    const answered = quorumValue(
        state.membership,
        id => id === core.id ? core.now : state.peers.get(id)?.lastAnsweredSentAt ?? -Infinity,
    );
    const duration = core.enforces("lease-within-promise")
        ? core.options.leaseMs
        : core.options.electionTimeoutMinMs;
    const until = answered + duration;
    if (until > core.now && until > (state.leaseUntil ?? -Infinity)) {
        core.setLease(until);
    }
}

export function holdsLease(core: StepContext): boolean {
    const { role, leaseUntil } = core.state;
    return role === "leader" && leaseUntil !== undefined && core.now < leaseUntil;
}

/** Answers at once under the lease, else asks a quorum whether this node is still the leader. */
export function handleRead(core: StepContext, id: string): void {
    const { state } = core;
    if (state.role !== "leader") {
        core.refuse(id, "not-leader");
        return;
    }
    const index = core.enforces("read-after-own-commit")
        ? Math.max(state.commitIndex, state.termStartIndex)
        : state.commitIndex;
    if (holdsLease(core) && state.commitIndex >= index) {
        core.effects.push({ type: "read-ready", id, index });
        return;
    }
    state.readRound += 1;
    state.pendingReads.push({ id, index, round: state.readRound });
    broadcast(core, true);
    confirmReads(core);
}

/** Answers the reads that a majority of the voters has confirmed. */
export function confirmReads(core: StepContext): void {
    const { state } = core;
    if (state.pendingReads.length === 0) {
        return;
    }
    state.pendingReads = state.pendingReads.filter(read => {
        const confirming = voterIds(state.membership)
            .filter(id => id === core.id || (state.peers.get(id)?.lastAnsweredRound ?? -1) >= read.round);
        const confirmed = isQuorum(state.membership, confirming) || !core.enforces("read-waits-for-quorum");
        if (confirmed && state.commitIndex >= read.index) {
            core.effects.push({ type: "read-ready", id: read.id, index: read.index });
            return false;
        }
        return true;
    });
}
