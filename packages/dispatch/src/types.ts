/** One part of a prompt; requests share parts, and the order of the parts counts. */
export interface PromptPart {
    id: string;
    tokens: number;
}

/** What a request asks of an engine. */
export interface EngineWork {
    parts: readonly PromptPart[];
    promptTokens: number;
    /** The most that the request may produce. */
    maxOutputTokens: number;
    /** Expected output; an estimate that is often far off. */
    outputTokens: number;
}

/** A request as the dispatcher sees it. Instants are in milliseconds of the process clock. */
export interface DispatchRequest {
    id: string;
    service: string;
    workspace: string;
    /** 0 is the most urgent. */
    rank: number;
    arrivedAt: number;
    /** Instant until which the first byte is on time. */
    targetAt: number;
    /** Instant at which the caller or the route gives up. */
    deadline: number;
    /** Undefined for a plain call. */
    work: EngineWork | undefined;
}

/** An endpoint that may be chosen. */
export interface Candidate {
    id: string;
    failureDomain: string;
    slots: number;
}
