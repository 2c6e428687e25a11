import type { Result } from "ts-results-es";

/** Priority of a request, from the `x-priority` header. */
export type Priority = "high" | "normal" | "low";

/** Priorities in shedding order, from the last to be shed to the first. */
export const priorities: readonly Priority[] = ["high", "normal", "low"];

/** A request for admission. Instants are in milliseconds since the epoch. */
export interface AdmissionRequest {
    workspace: string;
    priority: Priority;
    deadline: number;
    /** Expected work, in a unit common to all requests such as tokens. */
    cost: number;
    /** Expected share of the work that a cache saves, from 0 to 1; 0 if undefined. */
    cachedShare?: number;
    /** Kind of request for which service times are estimated separately, for example an operation. */
    kind: string;
}

/** An admitted request. */
export interface Ticket {
    readonly request: AdmissionRequest;
    readonly admittedAt: number;
}

/**
 * Reason for which a request is refused before its dispatch.
 *
 * - `deadline`: the request is not expected to end by its deadline, or its expected wait exceeds the limit.
 * - `queue-full`: the queue of its workspace and priority, or the whole queue, is full.
 * - `shed`: it was queued and displaced by a request of higher priority or of a workspace with less queued work.
 *
 * After `retryAfterMs` the work that is queued ahead now is expected to be done.
 */
export interface AdmissionRefusal {
    kind: "deadline" | "queue-full" | "shed";
    retryAfterMs: number;
}

/** Decides whether a request is accepted. */
export abstract class AdmissionPolicy {
    abstract admit(req: AdmissionRequest, now: number): Result<Ticket, AdmissionRefusal>;
}
