import { lastIndex } from "./log.ts";
import { isVoter } from "./membership.ts";
import type { StepContext } from "./step-context.ts";
import type { NodeId } from "./types.ts";

/** Starts to hand the leadership to `target`, or to the voter with the longest synced log. */
export function startHandOver(core: StepContext, target: NodeId | undefined): void {
    const { state } = core;
    if (state.role !== "leader" || state.handOver !== undefined) {
        return;
    }
    const [best] = [...state.peers]
        .filter(([id]) => isVoter(state.membership, id) && (target === undefined || id === target))
        .sort(([, a], [, b]) => b.matchIndex - a.matchIndex || b.lastReplyAt - a.lastReplyAt);
    if (best === undefined) {
        return;
    }
    state.handOver = { target: best[0], deadline: core.now + core.options.handOverTimeoutMs, sent: false };
    advanceHandOver(core);
}

/** Asks the target to campaign once it holds the whole log. */
export function advanceHandOver(core: StepContext): void {
    const { state } = core;
    const { handOver } = state;
    if (handOver === undefined || handOver.sent || state.role !== "leader") {
        return;
    }
    if (state.peers.get(handOver.target)?.matchIndex === lastIndex(state)) {
        handOver.sent = true;
        // The target's election does not wait for the promises of the voters, on which the lease rests.
        if (core.enforces("hand-over-ends-lease")) {
            core.setLease(undefined);
        }
        requestCampaign(core, handOver.target);
    }
}

/** Repeated with each heartbeat; the target ignores it once it campaigns. */
export function requestCampaign(core: StepContext, target: NodeId): void {
    core.send(target, { type: "hand-over" });
}
