/** A stream whose endpoint or connection was lost. */
export interface InterruptedStream {
    promptTokens: number;
    /** Tokens of the answer received so far. */
    receivedTokens: number;
    /** Leading prompt tokens that the chosen target is known to hold in its prefix cache. */
    cachedPromptTokens: number;
    /** Tokens of prompt and answer in a KV cache that the target has imported completely; 0 when there is none. */
    importedTokens: number;
    /** Attempts made so far. */
    attempts: number;
    /** Instant by which the answer must be complete. */
    deadline: number;
}

export type ResumeDecision =
    | {
        kind: "resume";
        /** Offset from which tokens are requested. */
        offset: number;
        /** Whether the request names the imported KV cache. */
        useImportedKv: boolean;
        /** Tokens of prompt and answer that the target computes although they were computed before. */
        recomputedTokens: number;
    }
    /** The final answer `partial` is sent at once. */
    | { kind: "give-up"; reason: "deadline" | "attempts"; };

/** Chooses how a lost stream continues. */
export abstract class ResumePolicy {
    abstract decide(stream: InterruptedStream, now: number): ResumeDecision;
}
