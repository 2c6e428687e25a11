import {
    bestChoice,
    type DispatchDecision,
    type EndpointChoice,
    EngineModel,
    engineSpeedDefaults,
    expectedSlotMs,
} from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import type { AdmittedRequest } from "./admission.ts";
import { stoppingRetryMs } from "./refusal.ts";
import type { RelayContext } from "./relay-context.ts";

type Decision = DispatchDecision<Endpoint>;
type Refusal = Extract<Decision, { kind: "refuse"; }>;

/** During a planned stop, refuses a request instead of sending or queueing it if its answer may not end in time. */
export function decideDuringStop<D extends Decision>(
    decision: D,
    admitted: AdmittedRequest,
    ctx: RelayContext,
): D | Refusal {
    if (!ctx.stop.begun || decision.kind === "refuse") {
        return decision;
    }
    const best = bestChoice(decision);
    const { deadline } = admitted.dispatch;
    return ctx.stop.leavesTimeFor({ deadline, expectedMs: expectedAnswerMs(admitted, best, ctx) }, ctx.clock.now())
        ? decision
        : { kind: "refuse", reason: "stopping", retryAfterMs: stoppingRetryMs, best };
}

/**
 * Returns the expected time to the end of the answer: the longest recent one of the route, or the prediction for the
 * chosen endpoint if that is longer. Undefined while too few answers of the route are known.
 */
function expectedAnswerMs(
    { dispatch, route }: AdmittedRequest,
    choice: EndpointChoice<Endpoint> | undefined,
    ctx: RelayContext,
): number | undefined {
    const longestMs = ctx.answerTimes.longestMs(route.name);
    if (longestMs === undefined || choice === undefined) {
        return longestMs;
    }
    const { firstByteMs, idleFirstByteMs, unreadTokens } = choice.prediction;
    if (dispatch.work === undefined) {
        return Math.max(longestMs, firstByteMs);
    }
    const model = ctx.latencyModel(dispatch.service);
    const speed = model instanceof EngineModel ? model.speedEstimate.speed : engineSpeedDefaults;
    return Math.max(longestMs, firstByteMs - idleFirstByteMs + expectedSlotMs(dispatch.work, unreadTokens, speed));
}
