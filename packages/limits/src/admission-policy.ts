import type { Result } from "ts-results-es";

/** Priority of a request, from `x-priority`. */
export type Priority = "high" | "normal" | "low";

/** Priorities from the last shed to the first shed. */
export const priorities: readonly Priority[] = ["high", "normal", "low"];

/** A request to be admitted. Instants are milliseconds since the epoch. */
export interface AdmissionRequest {
    workspace: string;
    priority: Priority;
    deadline: number;
    /** Expected work in any unit that is the same for all requests, for example tokens. */
    cost: number;
    /** Share of the work that a cache is expected to save, from 0 to 1; 0 when undefined. */
    cachedShare?: number;
    /** Kind of work with a service time of its own, for example an operation. */
    kind: string;
}

/** Result of a successful admission check. */
export interface Ticket {
    readonly request: AdmissionRequest;
    readonly admittedAt: number;
}

/**
 * - `deadline`: the request cannot end by its deadline.
 * - `queue-full`: the queue of its workspace and priority, or the whole queue, is full.
 * - `shed`: it was queued and gave way to a request of higher priority or of a workspace that uses less.
 *
 * Nothing was dispatched in any of these cases. After `retryAfterMs` the work now queued ahead is expected
 * to be done.
 */
export interface AdmissionRefusal {
    kind: "deadline" | "queue-full" | "shed";
    retryAfterMs: number;
}

/** Decides whether a request is accepted. */
export abstract class AdmissionPolicy {
    abstract admit(req: AdmissionRequest, now: number): Result<Ticket, AdmissionRefusal>;
}
