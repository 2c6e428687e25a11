import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { AdmissionRefusal, AdmissionRequest, Ticket } from "./admission-policy.ts";
import { AdmissionPolicy } from "./admission-policy.ts";
import type { ConcurrencyLimit } from "./concurrency-limit.ts";
import type { FairQueueOptions } from "./fair-queue.ts";
import { FairQueue, fairQueueDefaults } from "./fair-queue.ts";
import { ServiceTimeEstimator } from "./service-time-estimator.ts";

export interface FairAdmissionOptions extends FairQueueOptions {
    /** Factor on the predicted wait, which other workspaces that become active can prolong. */
    waitMargin: number;
    /** Mean deviations of the service time added to its mean. */
    serviceTimeDeviations: number;
    /** Longest time in the queue, whatever the deadline, so that queues stay short after an overload. */
    maxWaitMs: number;
    /**
     * Part of `maxWaitMs` allowed to a request without cached work; a fully cached one is allowed all of it. Under
     * overload this keeps the requests that cost least, above all chats whose last turn was served.
     */
    uncachedWaitShare: number;
    /** Shortest time to name in a refusal. */
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

/** A ticket that was refused after its admission, before dispatch. */
export interface RefusedTicket {
    ticket: Ticket;
    refusal: AdmissionRefusal;
}

const smoothing = 0.05;

/**
 * Admission with fair shares, deadlines and bounded queues. The caller admits a request, takes tickets with
 * `next` while there are any, answers those of `takeRefused`, and reports the end of each dispatched one.
 */
export class FairAdmissionPolicy extends AdmissionPolicy {
    private readonly queue: FairQueue;
    private readonly serviceTime = new ServiceTimeEstimator();
    private readonly options: FairAdmissionOptions;
    private refused: RefusedTicket[] = [];
    private readonly dispatchedAt = new Map<Ticket, number>();
    /** Requests queued or in flight, by kind. */
    private readonly pending = new Map<string, number>();
    private meanCost = 0;
    private meanServiceMs = 0;

    constructor(private readonly concurrency: ConcurrencyLimit, options: Partial<FairAdmissionOptions> = {}) {
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
        const waitMs = this.waitMs(req.workspace) * this.options.waitMargin;
        const expectedEnd = now + waitMs + this.expectedServiceMs(req.kind);
        const lateMs = Math.max(expectedEnd - req.deadline, waitMs - this.maxWaitMs(req));
        if (lateMs > 0 || now >= req.deadline) {
            return Err(this.refusal("deadline", Math.min(lateMs, waitMs)));
        }
        if (this.queue.isClassFull(req.workspace, req.priority)) {
            return Err(this.refusal("queue-full", waitMs));
        }
        if (this.queue.isFull) {
            const displaced = this.queue.displace(req.workspace, req.priority);
            if (displaced === undefined) {
                return Err(this.refusal("queue-full", waitMs));
            }
            this.refuse(displaced, "shed");
        }
        const ticket = { request: req, admittedAt: now };
        this.queue.push(ticket);
        this.count(req.kind, 1);
        return Ok(ticket);
    }

    /** Returns the next ticket to dispatch now, or undefined when none is queued or the limit is reached. */
    next(now: number): Ticket | undefined {
        while (this.inFlight < this.concurrency.limit) {
            const ticket = this.queue.take();
            if (ticket === undefined) {
                return undefined;
            }
            const { kind, deadline } = ticket.request;
            const only = this.pending.get(kind) === 1;
            if (now + (only ? 0 : this.serviceTime.get(kind).meanMs) > deadline) {
                this.refuse(ticket, "deadline");
                continue;
            }
            this.queue.charge(ticket);
            this.dispatchedAt.set(ticket, now);
            return ticket;
        }
        return undefined;
    }

    /** Returns the tickets refused since the last call; each must be answered at once. */
    takeRefused(): RefusedTicket[] {
        const refused = this.refused;
        this.refused = [];
        return refused;
    }

    /** Records the end of a dispatched request. Failures do not count as service times, which they would shorten. */
    onFinished(ticket: Ticket, ok: boolean, now: number): void {
        const dispatchedAt = this.dispatchedAt.get(ticket);
        if (dispatchedAt === undefined) {
            return;
        }
        this.dispatchedAt.delete(ticket);
        this.count(ticket.request.kind, -1);
        if (ok) {
            const ms = now - dispatchedAt;
            this.serviceTime.record(ticket.request.kind, ms);
            const gain = this.meanServiceMs === 0 ? 1 : smoothing;
            this.meanServiceMs += gain * (ms - this.meanServiceMs);
            this.meanCost += gain * (ticket.request.cost - this.meanCost);
        }
    }

    private maxWaitMs(req: AdmissionRequest): number {
        const { maxWaitMs, uncachedWaitShare } = this.options;
        // A workspace below its share did not cause the queue and keeps all kinds of its requests.
        const share = this.queue.isBelowShare(req.workspace) ? 1 : uncachedWaitShare;
        return maxWaitMs * (share + (1 - share) * (req.cachedShare ?? 0));
    }

    /** Expected time in the queue: work ahead by the rate of service, which follows from Little's law. */
    private waitMs(workspace: string): number {
        const costPerMs = this.concurrency.limit * this.meanCost / this.meanServiceMs;
        return this.queue.size === 0 || !(costPerMs > 0) ? 0 : this.queue.costAhead(workspace) / costPerMs;
    }

    /**
     * Expected service time with its deviation. A kind without a request in progress is admitted whatever its
     * estimate says: with all refused there would be no sample to correct an estimate from a slow period.
     */
    private expectedServiceMs(kind: string): number {
        const { meanMs, deviationMs } = this.serviceTime.get(kind);
        return this.pending.has(kind) ? meanMs + this.options.serviceTimeDeviations * deviationMs : 0;
    }

    private count(kind: string, change: number): void {
        const pending = (this.pending.get(kind) ?? 0) + change;
        if (pending > 0) {
            this.pending.set(kind, pending);
        }
        else {
            this.pending.delete(kind);
        }
    }

    private refuse(ticket: Ticket, kind: AdmissionRefusal["kind"]): void {
        this.count(ticket.request.kind, -1);
        this.refused.push({ ticket, refusal: this.refusal(kind, this.waitMs(ticket.request.workspace)) });
    }

    private refusal(kind: AdmissionRefusal["kind"], ms: number): AdmissionRefusal {
        return { kind, retryAfterMs: Math.ceil(Math.max(this.options.minRetryAfterMs, ms)) };
    }
}
