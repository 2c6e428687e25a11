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

/** Endpoints of a service, some of which may not be sent to now. */
export interface CandidatePool<C extends Candidate> {
    /** Must not change. */
    readonly list: readonly C[];
    /** Whether the same array is passed for several choices, as long as its contents stay the same; it is worth an index. */
    readonly isKept: boolean;
    /** Whether an endpoint of the list may be sent to now; asked for those that are considered, at each choice. */
    readonly isAllowed: (endpoint: C) => boolean;
}

/** Endpoints to choose from; all those of a plain list are allowed. */
export type Candidates<C extends Candidate> = readonly C[] | CandidatePool<C>;

/** The predicate of a pool all of whose endpoints may be sent to. */
export const allowAll = (): boolean => true;

export function toPool<C extends Candidate>(candidates: Candidates<C>): CandidatePool<C> {
    return "isAllowed" in candidates ? candidates : { list: candidates, isKept: false, isAllowed: allowAll };
}

/** Returns all endpoints that may be sent to now. */
export function allowedOf<C extends Candidate>(candidates: Candidates<C>): readonly C[] {
    const { list, isAllowed } = toPool(candidates);
    return isAllowed === allowAll ? list : list.filter(isAllowed);
}
