import type { Prediction } from "@lentilramp/dispatch";
import type { AdmittedRequest } from "./relay.ts";

/** Time in which a connection must be open, in milliseconds; a lost opening packet is sent again only after a second. */
const connectMs = 250;
/** Part of the time to the target after which an idempotent call without an answer is tried elsewhere. */
const slowAnswerPart = 0.75;
/** Least time that an idempotent call is given before it is tried elsewhere, in milliseconds. */
const minAnswerMs = 250;
/** Times the predicted time to the first byte after which an endpoint counts as silent, plus a margin. */
const silenceFactor = 3;
const silenceMarginMs = 400;

/** Instant by which a connection must be open; a request whose connection is not is sent elsewhere. */
export function connectDeadline(now: number): number {
    return now + connectMs;
}

/** Time after which silence is the endpoint's fault, however short the time of the request is. */
export function patienceMs({ firstByteMs }: Prediction): number {
    return firstByteMs * silenceFactor + silenceMarginMs;
}

/** Instant by which an answer must have begun; where the request may be repeated, before the caller gives up. */
export function answerDeadline(
    { dispatch, route }: AdmittedRequest,
    prediction: Prediction,
    now: number,
    mayRepeat: boolean,
): number {
    if (!mayRepeat) {
        return dispatch.deadline;
    }
    const patience = route.execution === "stream"
        ? patienceMs(prediction)
        : Math.max(minAnswerMs, (dispatch.targetAt - dispatch.arrivedAt) * slowAnswerPart);
    return Math.min(dispatch.deadline, now + patience);
}
