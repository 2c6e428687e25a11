import type { RequestContext } from "./request-context.ts";

/** Work that a request brings, in the unit of its class. */
export interface AdmissionCost {
    kind: "engine" | "service";
    /** Work of the same kind has similar service times: a model, or an operation of a service. */
    name: string;
    /** Prompt tokens and expected answer tokens; 1 for a plain call. */
    tokens: number;
}

/**
 * Ends the admission of a request. `firstByteMs` is the time from its start to the first byte of the answer, when there
 * was one.
 */
export type Release = (ok: boolean, firstByteMs?: number) => void;

/** Decides which requests are served now, which wait, and which are refused. */
export abstract class Admission {
    /** Resolves when the request may start; rejects with a CallerError when it is refused. */
    abstract admit(context: RequestContext, cost: AdmissionCost): Promise<Release>;
    abstract get status(): unknown;
}
