import type { RequestContext } from "./request-context.ts";

/** Estimated work of a request. */
export interface AdmissionCost {
    kind: "engine" | "service";
    /** Name of the model, or of the service operation. Requests with the same name have similar service times. */
    name: string;
    /** Prompt tokens plus expected answer tokens for an engine; 1 for a service call. */
    tokens: number;
}

/**
 * Releases the capacity of an admitted request. `firstByteMs` is the time from the start of the request to the first
 * byte of the answer; undefined when no byte arrived.
 */
export type Release = (ok: boolean, firstByteMs?: number) => void;

/** Decides which requests start, which are queued and which are refused. */
export abstract class Admission {
    /** Resolves when the request may start. Rejects with a CallerError when the request is refused. */
    abstract admit(context: RequestContext, cost: AdmissionCost): Promise<Release>;
    abstract get status(): unknown;
}
