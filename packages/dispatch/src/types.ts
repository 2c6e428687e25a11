/** One part of a prompt. Requests can share leading parts; the order of the parts matters. */
export interface PromptPart {
    id: string;
    tokens: number;
}

/** Work that a request causes on an engine. */
export interface EngineWork {
    parts: readonly PromptPart[];
    promptTokens: number;
    /** Upper limit of output tokens. */
    maxOutputTokens: number;
    /** Expected output tokens; a rough estimate that is often far off. */
    outputTokens: number;
}

/** A request to dispatch. Instants are in milliseconds of the process clock. */
export interface DispatchRequest {
    id: string;
    service: string;
    workspace: string;
    /** Urgency, 0 for the most urgent requests. */
    rank: number;
    arrivedAt: number;
    /** Instant by which the first byte must arrive to be on time. */
    targetAt: number;
    /** Instant at which the caller or the route abandons the request. */
    deadline: number;
    /** Engine work, or undefined for a plain call. */
    work: EngineWork | undefined;
}

/** An endpoint that a request may be sent to. */
export interface Candidate {
    id: string;
    failureDomain: string;
    slots: number;
}
