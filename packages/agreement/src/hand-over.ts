import { lastIndex } from "./log.ts";
import { isVoter } from "./membership.ts";
import type { StepContext } from "./step-context.ts";
import type { NodeId } from "./types.ts";

/** Starts a hand-over of the leadership to `target`, or by default to the voter with the longest synced log. */
export function startHandOver(ctx: StepContext, target: NodeId | undefined): void {
    const { state } = ctx;
    if (state.role !== "leader" || state.handOver !== undefined) {
        return;
    }
    const [best] = [...state.peers]
        .filter(([id]) => isVoter(state.membership, id) && (target === undefined || id === target))
        .sort(([, a], [, b]) => b.matchIndex - a.matchIndex || b.lastReplyAt - a.lastReplyAt);
    if (best === undefined) {
        return;
    }
    state.handOver = { target: best[0], deadline: ctx.now + ctx.options.handOverTimeoutMs, requestSent: false };
    advanceHandOver(ctx);
}

/** Asks the target to campaign once its synced log equals that of the leader. */
export function advanceHandOver(ctx: StepContext): void {
    const { state } = ctx;
    const { handOver } = state;
    if (handOver === undefined || handOver.requestSent || state.role !== "leader") {
        return;
    }
    if (state.peers.get(handOver.target)?.matchIndex === lastIndex(state)) {
        handOver.requestSent = true;
        // The lease relies on voters that withhold their votes for the minimum election timeout, and they do not
        // withhold them from the target.
        if (ctx.enforces("hand-over-ends-lease")) {
            ctx.setLease(undefined);
        }
        requestCampaign(ctx, handOver.target);
    }
}

/** Asks the target to campaign. This is repeated with each heartbeat; a target that already campaigns ignores it. */
export function requestCampaign(ctx: StepContext, target: NodeId): void {
    ctx.send(target, { type: "hand-over" });
}
