import { isRequestKey, type RequestSuspects } from "@lentilramp/fleet";
import type { Refusal } from "./check-request.ts";
import type { FleetView } from "./fleet-view.ts";
import { blockedRetryMs, withheldRetryMs } from "./refusal.ts";

/** Reasons for which a request is refused because of endpoints that crashed under it or under its prompt. */
export type CrashRefusalReason = "blocked-part" | "blocked-request" | "withheld-request";

export interface CrashRefusal {
    reason: CrashRefusalReason;
    /** Key of the suspect. */
    suspect: string;
    retryAfterMs: number;
}

/** Returns why a request must not be sent to any endpoint now, or undefined if it may be. */
export function decideOnSuspects(
    suspects: RequestSuspects | undefined,
    view: FleetView,
    now: number,
): CrashRefusal | undefined {
    const { crashes } = view;
    if (crashes === undefined || suspects === undefined) {
        return undefined;
    }
    const keys = view.judgedSuspects(suspects);
    const blocking = crashes.blockingPart(keys);
    if (blocking !== undefined) {
        crashes.recordRefusal(blocking);
        const reason = isRequestKey(blocking) ? "blocked-request" : "blocked-part";
        return { reason, suspect: blocking, retryAfterMs: blockedRetryMs };
    }
    const withheld = crashes.withheld(keys, now);
    return withheld === undefined
        ? undefined
        : { reason: "withheld-request", suspect: withheld, retryAfterMs: withheldRetryMs };
}

const callerReasons: Readonly<Record<CrashRefusalReason, string>> = {
    "blocked-part": "prompt part crashes engines",
    "blocked-request": "request crashes endpoints",
    "withheld-request": "request may crash endpoints",
};

/** Returns the refusal of a request that has not been admitted. */
export function toRefusal({ reason, suspect, retryAfterMs }: CrashRefusal): Refusal {
    return {
        status: 503,
        reason: callerReasons[reason],
        retryAfterMs,
        inputs: isRequestKey(suspect) ? { request: suspect } : { part: suspect },
    };
}
