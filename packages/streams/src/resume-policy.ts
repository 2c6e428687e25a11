/** A stream whose endpoint or connection failed before the answer was complete. */
export interface InterruptedStream {
    promptTokens: number;
    /** Tokens of the answer received so far. */
    receivedTokens: number;
    /** Number of leading prompt tokens in the prefix cache of the chosen target. */
    cachedPromptTokens: number;
    /** Tokens of prompt and answer in a KV cache that the target has imported completely; 0 if there is none. */
    importedTokens: number;
    /** Number of attempts made so far. */
    attempts: number;
    /** Instant by which the answer must be complete. */
    deadline: number;
}

export type ResumeDecision =
    | {
        kind: "resume";
        /** Offset of the first requested token in the answer. */
        offset: number;
        /** Whether the request names the imported KV cache. */
        useImportedKv: boolean;
        /** Tokens of prompt and answer that were computed before and that the target computes again. */
        recomputedTokens: number;
    }
    /** The final answer `partial` is sent at once. */
    | { kind: "give-up"; reason: "deadline" | "attempts"; };

/** Decides how an interrupted stream continues. */
export abstract class ResumePolicy {
    abstract decide(stream: InterruptedStream, now: number): ResumeDecision;
}
