import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { AdmissionRefusal, AdmissionRequest, Ticket } from "./admission-policy.ts";
import { AdmissionPolicy } from "./admission-policy.ts";
import type { ConcurrencyLimit } from "./concurrency-limit.ts";
import type { FairQueueOptions } from "./fair-queue.ts";
import { FairQueue, fairQueueDefaults } from "./fair-queue.ts";
import { ServiceTimeEstimator } from "./service-time-estimator.ts";

export interface FairAdmissionOptions extends FairQueueOptions {
    /** Safety factor on the predicted wait, which grows if further workspaces become active. */
    waitMargin: number;
    /** Number of mean deviations that are added to the mean service time. */
    serviceTimeDeviations: number;
    /** Longest time in the queue, regardless of the deadline, so that queues stay short after an overload. */
    maxWaitMs: number;
    /**
     * Share of `maxWaitMs` that a request without cached work may wait; a fully cached one may wait all of it. Under
     * overload this favors the cheapest requests, mainly chats whose previous turn was served.
     */
    uncachedWaitShare: number;
    /** Shortest `retryAfterMs` of a refusal. */
    minRetryAfterMs: number;
}

export const fairAdmissionDefaults: FairAdmissionOptions = {
    ...fairQueueDefaults,
    waitMargin: 1.2,
    serviceTimeDeviations: 1,
    maxWaitMs: 1_200,
    uncachedWaitShare: 0.25,
    minRetryAfterMs: 100,
};

/** A ticket that was refused between its admission and its dispatch. */
export interface RefusedTicket {
    ticket: Ticket;
    refusal: AdmissionRefusal;
}

/** Weight of a new sample in the moving averages of cost and service time. */
const smoothingFactor = 0.05;

/**
 * Admission control with fair shares, deadlines and bounded queues. The caller admits requests, dispatches the tickets
 * from `next` until it returns undefined, answers the tickets from `takeRefused`, and calls `onFinished` for each
 * dispatched ticket.
 */
export class FairAdmissionPolicy extends AdmissionPolicy {
    private readonly queue: FairQueue;
    private readonly serviceTimes = new ServiceTimeEstimator();
    private readonly options: FairAdmissionOptions;
    private refused: RefusedTicket[] = [];
    private readonly dispatchedAt = new Map<Ticket, number>();
    /** Number of requests that are queued or in flight, by kind. */
    private readonly pendingByKind = new Map<string, number>();
    private meanCost = 0;
    private meanServiceMs = 0;

    constructor(private readonly concurrencyLimit: ConcurrencyLimit, options: Partial<FairAdmissionOptions> = {}) {
        super();
        this.options = { ...fairAdmissionDefaults, ...options };
        this.queue = new FairQueue(this.options);
    }

    get inFlight(): number {
        return this.dispatchedAt.size;
    }

    get queued(): number {
        return this.queue.size;
    }

    override admit(req: AdmissionRequest, now: number): Result<Ticket, AdmissionRefusal> {
        const expectedWaitMs = this.expectedWaitMs(req.workspace) * this.options.waitMargin;
        const expectedEnd = now + expectedWaitMs + this.expectedServiceMs(req.kind);
        const lateMs = Math.max(expectedEnd - req.deadline, expectedWaitMs - this.maxWaitMs(req));
        if (lateMs > 0 || now >= req.deadline) {
            return Err(this.refusal("deadline", Math.min(lateMs, expectedWaitMs)));
        }
        if (this.queue.isClassFull(req.workspace, req.priority)) {
            return Err(this.refusal("queue-full", expectedWaitMs));
        }
        if (this.queue.isFull) {
            const displaced = this.queue.displace(req.workspace, req.priority);
            if (displaced === undefined) {
                return Err(this.refusal("queue-full", expectedWaitMs));
            }
            this.refuse(displaced, "shed");
        }
        const ticket = { request: req, admittedAt: now };
        this.queue.push(ticket);
        this.countPending(req.kind, 1);
        return Ok(ticket);
    }

    /** Returns the next ticket to dispatch, or undefined if none is queued or the concurrency limit is reached. */
    next(now: number): Ticket | undefined {
        while (this.inFlight < this.concurrencyLimit.limit) {
            const ticket = this.queue.take();
            if (ticket === undefined) {
                return undefined;
            }
            const { kind, deadline } = ticket.request;
            const isOnlyPending = this.pendingByKind.get(kind) === 1;
            if (now + (isOnlyPending ? 0 : this.serviceTimes.get(kind).meanMs) > deadline) {
                this.refuse(ticket, "deadline");
                continue;
            }
            this.queue.charge(ticket);
            this.dispatchedAt.set(ticket, now);
            return ticket;
        }
        return undefined;
    }

    /** Returns the tickets refused since the last call; the caller must answer each of them immediately. */
    takeRefused(): RefusedTicket[] {
        const refused = this.refused;
        this.refused = [];
        return refused;
    }

    /** Records the end of a dispatched request. Failures are not sampled, as they would lower the service time. */
    onFinished(ticket: Ticket, succeeded: boolean, now: number): void {
        const dispatchedAt = this.dispatchedAt.get(ticket);
        if (dispatchedAt === undefined) {
            return;
        }
        this.dispatchedAt.delete(ticket);
        this.countPending(ticket.request.kind, -1);
        if (succeeded) {
            const serviceMs = now - dispatchedAt;
            this.serviceTimes.record(ticket.request.kind, serviceMs);
            const gain = this.meanServiceMs === 0 ? 1 : smoothingFactor;
            this.meanServiceMs += gain * (serviceMs - this.meanServiceMs);
            this.meanCost += gain * (ticket.request.cost - this.meanCost);
        }
    }

    private maxWaitMs(req: AdmissionRequest): number {
        const { maxWaitMs, uncachedWaitShare } = this.options;
        // A workspace below its share did not cause the queue, so its uncached requests may wait for the full time.
        const share = this.queue.isBelowShare(req.workspace) ? 1 : uncachedWaitShare;
        return maxWaitMs * (share + (1 - share) * (req.cachedShare ?? 0));
    }

    /** Returns the expected time in the queue: the cost ahead divided by the service rate, by Little's law. */
    private expectedWaitMs(workspace: string): number {
        const costPerMs = this.concurrencyLimit.limit * this.meanCost / this.meanServiceMs;
        return this.queue.size === 0 || !(costPerMs > 0) ? 0 : this.queue.costAhead(workspace) / costPerMs;
    }

    /**
     * Returns the expected service time with a margin, or 0 for a kind without a pending request. The estimate is then
     * ignored, because if all requests were refused, no sample could correct an estimate from a slow period.
     */
    private expectedServiceMs(kind: string): number {
        const { meanMs, deviationMs } = this.serviceTimes.get(kind);
        return this.pendingByKind.has(kind) ? meanMs + this.options.serviceTimeDeviations * deviationMs : 0;
    }

    private countPending(kind: string, delta: number): void {
        const pending = (this.pendingByKind.get(kind) ?? 0) + delta;
        if (pending > 0) {
            this.pendingByKind.set(kind, pending);
        }
        else {
            this.pendingByKind.delete(kind);
        }
    }

    private refuse(ticket: Ticket, kind: AdmissionRefusal["kind"]): void {
        this.countPending(ticket.request.kind, -1);
        this.refused.push({ ticket, refusal: this.refusal(kind, this.expectedWaitMs(ticket.request.workspace)) });
    }

    private refusal(kind: AdmissionRefusal["kind"], waitMs: number): AdmissionRefusal {
        return { kind, retryAfterMs: Math.ceil(Math.max(this.options.minRetryAfterMs, waitMs)) };
    }
}
