/** Answer of an endpoint to a probe for the progress of a request. */
export type ProbeAnswer =
    | { kind: "status"; produced: number; state: "running" | "done" | "cancelled"; }
    /** The endpoint has no such request, for example after a restart. */
    | { kind: "unknown-request"; };

export type ProbeResult =
    /** Nothing is missing that the endpoint should have sent. */
    | "slow"
    /** The endpoint has produced more than was received: dead, unless a byte arrives within the confirmation time. */
    | "behind"
    /** The endpoint will not send anything more. */
    | "lost";

/** Compares the answer to a probe with the received tokens; `isStreamed` is false for an answer sent in one piece. */
export function classifyProbeAnswer(answer: ProbeAnswer, receivedTokens: number, isStreamed: boolean): ProbeResult {
    if (answer.kind === "unknown-request" || answer.state === "cancelled") {
        return "lost";
    }
    // The end of the answer has not arrived either, otherwise the connection would not be watched any more.
    if (answer.state === "done") {
        return "behind";
    }
    return isStreamed && answer.produced > receivedTokens ? "behind" : "slow";
}
