/** Answer of an endpoint to the question how far a request is. */
export type ProbeAnswer =
    | { kind: "status"; produced: number; state: "running" | "done" | "cancelled"; }
    /** The endpoint does not know the request, for example after a restart. */
    | { kind: "unknown-request"; };

export type ProbeResult =
    /** The endpoint has nothing that was not received. */
    | "slow"
    /** The endpoint has produced more than was received: dead, unless a byte arrives within the confirmation time. */
    | "behind"
    /** The endpoint will not send anything more. */
    | "lost";

/** Compares the answer of a probe with what was received; `streamed` is false when the answer comes in one piece. */
export function classifyProbeAnswer(answer: ProbeAnswer, received: number, streamed: boolean): ProbeResult {
    if (answer.kind === "unknown-request" || answer.state === "cancelled") {
        return "lost";
    }
    // The end of the answer has not arrived either, otherwise the connection would not be watched any more.
    if (answer.state === "done") {
        return "behind";
    }
    return streamed && answer.produced > received ? "behind" : "slow";
}
