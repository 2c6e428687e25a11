import type { CatalogRoute } from "@lentilramp/catalog";
import type { Prediction } from "@lentilramp/dispatch";
import type { AdmittedRequest } from "./admission.ts";

/** Connect timeout in milliseconds; TCP retransmits a lost SYN packet only after a second. */
const connectTimeoutMs = 250;
/** Fraction of the time to the latency target after which an unanswered idempotent call may be retried elsewhere. */
const slowAnswerFraction = 0.75;
/** Minimum wait for the answer to an idempotent call before it may be retried elsewhere, in milliseconds. */
const minAnswerWaitMs = 250;
/** An endpoint counts as silent after this multiple of the predicted time to the first byte, plus the margin. */
const silenceFactor = 3;
const silenceMarginMs = 400;

/**
 * Multiple of the target gap between events after which a silent stream is resumed at another endpoint if possible.
 * Callers wait for eight times the gap.
 */
const stallGapFactor = 5;
const defaultGapTargetMs = 300;

/** Returns the silence between two events after which another attempt may resume a stream, in milliseconds. */
export function stallMs({ gapTargetMs }: CatalogRoute): number {
    return (gapTargetMs ?? defaultGapTargetMs) * stallGapFactor;
}

/** Returns the instant by which a connection must be open; after it, the request is sent to another endpoint. */
export function connectDeadline(now: number): number {
    return now + connectTimeoutMs;
}

/** Returns the time after which silence counts as the endpoint's fault, independent of the request's deadline. */
export function silenceLimitMs({ firstByteMs }: Prediction): number {
    return firstByteMs * silenceFactor + silenceMarginMs;
}

/** Returns the instant by which an answer is expected to have begun; after it, another attempt may replace the silent one. */
export function answerExpectedBy({ dispatch, route }: AdmittedRequest, prediction: Prediction, now: number): number {
    return now + (route.execution === "stream"
        ? silenceLimitMs(prediction)
        : Math.max(minAnswerWaitMs, (dispatch.targetAt - dispatch.arrivedAt) * slowAnswerFraction));
}

/** Time for which a silent attempt is kept open beside one that may be run by now, in milliseconds. */
export const keptOpenMs = 300;

/**
 * Returns the time for which a silent attempt is kept open beside the one that is to replace it, in milliseconds. Two
 * endpoints may not work on a request for long; an engine that was asked to resume a stream works from its first event.
 */
export function parkedMs({ execution }: CatalogRoute, isEngine: boolean): number {
    return execution === "stream" && isEngine ? Infinity : keptOpenMs;
}
