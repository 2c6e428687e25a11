/** What follows the head of an endpoint's answer. */
export type AnswerDecision =
    | "relay"
    /** The answer is discarded, and another attempt or a parked one goes on. */
    | "discard"
    /** The status implies to callers that the request has not run, which the endpoint has not stated. */
    | "withhold";

export interface AnswerSituation {
    /** HTTP status of the answer. */
    status: number;
    isStream: boolean;
    /** Whether the caller has got the head of an answer. */
    hasBegun: boolean;
    /** Whether a silent attempt is kept open. */
    hasParked: boolean;
    /** Whether the route allows attempts after one that may have run. */
    isRetryable: boolean;
}

/** Statuses that imply that a request has not run. */
const refusingStatuses: readonly number[] = [408, 421, 429, 503];

/** Decides what follows the head of an answer. `payForAnother` returns whether another attempt is made, and pays for it. */
export function decideOnAnswer(
    { status, isStream, hasBegun, hasParked, isRetryable }: AnswerSituation,
    payForAnother: () => boolean,
): AnswerDecision {
    const isOnlyRest = hasBegun || hasParked && (isStream || status >= 500);
    if (isOnlyRest && status !== 200) {
        // Only the rest of a stream may follow its events, and a parked attempt may still succeed.
        return "discard";
    }
    if (status >= 500 && !hasBegun && payForAnother()) {
        return "discard";
    }
    return !isRetryable && refusingStatuses.includes(status) ? "withhold" : "relay";
}
