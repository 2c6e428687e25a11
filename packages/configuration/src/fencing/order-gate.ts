import { allRules, type RuleSwitches } from "../rules/rule-switches.ts";

/** Lease as recorded by its holder. All instants are by the clock of the holder. */
export interface HeldLease {
    fencing: number;
    /** Instant at which the command that acquired or renewed the lease was sent. */
    sentAt: number;
    leaseMs: number;
}

/** Order that is recorded in the replicated state. */
export interface IssuedOrder {
    fencing: number;
    /** Instant at which the holder sent the command that recorded the order. */
    sentAt: number;
    validForMs: number;
}

/** Reason why an order must not be sent now. `until` is the instant at which the check may be repeated. */
export type OrderRefusal = { kind: "no-lease" | "old-order" | "expired"; } | { kind: "wait"; until: number; };

/**
 * Decides at the holder of a duty whether an order may be sent. The holder sends an order only under a valid lease and
 * before the order expires. Endpoints that check fencing numbers reject outdated orders themselves; before an order to
 * any other endpoint, the holder also waits until the orders of earlier holders have expired (design question 11).
 */
export class OrderGate {
    private lease: HeldLease | undefined;
    private earliestSendAt = Number.NEGATIVE_INFINITY;

    /** Creates a gate without a lease. Only tests pass `switches`. */
    constructor(private readonly switches: RuleSwitches = allRules) {}

    /** Handles an acquired lease. `orderWaitMs` is from the result of the command, which was received at `now`. */
    onLeaseAcquired(lease: HeldLease, orderWaitMs: number, now: number): void {
        this.lease = lease;
        this.earliestSendAt = now + orderWaitMs;
    }

    /** Handles the renewal of the lease by a command sent at `sentAt`. */
    onLeaseRenewed(sentAt: number, leaseMs: number): void {
        if (this.lease !== undefined && sentAt + leaseMs > this.lease.sentAt + this.lease.leaseMs) {
            this.lease = { ...this.lease, sentAt, leaseMs };
        }
    }

    onLeaseLost(): void {
        this.lease = undefined;
    }

    /** Instant at which the lease expires, or undefined without a lease. */
    get leaseEndsAt(): number | undefined {
        return this.lease === undefined ? undefined : this.lease.sentAt + this.lease.leaseMs;
    }

    /** Returns the reason why the order must not be sent now, or undefined when it may be sent. */
    check(order: IssuedOrder, endpointChecksFencing: boolean, now: number): OrderRefusal | undefined {
        if (this.lease === undefined || now >= this.lease.sentAt + this.lease.leaseMs) {
            return { kind: "no-lease" };
        }
        if (order.fencing !== this.lease.fencing) {
            return { kind: "old-order" };
        }
        if (now >= order.sentAt + order.validForMs) {
            return { kind: "expired" };
        }
        if (this.switches.fencingWait && !endpointChecksFencing && now < this.earliestSendAt) {
            return { kind: "wait", until: this.earliestSendAt };
        }
        return undefined;
    }

    /**
     * Returns the deadline of a call that sends the order: the end of the lease or of the order, whichever is earlier.
     */
    deadlineFor(order: IssuedOrder): number {
        return Math.min(this.leaseEndsAt ?? Number.NEGATIVE_INFINITY, order.sentAt + order.validForMs);
    }
}
