import { allRules, type RuleSwitches } from "../rules/rule-switches.ts";

/** A lease as its holder knows it; all instants are by the holder's clock. */
export interface HeldLease {
    fencing: number;
    /** Instant at which the command that gave or renewed the lease was sent. */
    sentAt: number;
    leaseMs: number;
}

/** An order that the replicated state has recorded. */
export interface IssuedOrder {
    fencing: number;
    /** Instant at which the holder sent the command that recorded the order. */
    sentAt: number;
    validForMs: number;
}

/** Why an order must not be sent now; `until` is the instant at which it may be tried again. */
export type OrderRefusal = { kind: "no-lease" | "old-order" | "expired"; } | { kind: "wait"; until: number; };

/**
 * Decides at the holder of a duty whether an order may be sent. Endpoints that check fencing numbers refuse old orders
 * by themselves. For the others, the holder sends only under a valid lease and before the end of the order, and waits
 * until the orders of earlier holders have ended (design question 11).
 */
export class OrderGate {
    private lease: HeldLease | undefined;
    private waitUntil = Number.NEGATIVE_INFINITY;

    /** `switches` is only for tests. */
    constructor(private readonly switches: RuleSwitches = allRules) {}

    /** The lease was acquired; `orderWaitMs` comes from the result, which was received at `now`. */
    onLeaseAcquired(lease: HeldLease, orderWaitMs: number, now: number): void {
        this.lease = lease;
        this.waitUntil = now + orderWaitMs;
    }

    /** The lease was renewed by a command sent at `sentAt`. */
    onLeaseRenewed(sentAt: number, leaseMs: number): void {
        if (this.lease !== undefined && sentAt + leaseMs > this.lease.sentAt + this.lease.leaseMs) {
            this.lease = { ...this.lease, sentAt, leaseMs };
        }
    }

    onLeaseLost(): void {
        this.lease = undefined;
    }

    /** Instant at which the lease ends, or undefined without a lease. */
    get leaseEndsAt(): number | undefined {
        return this.lease === undefined ? undefined : this.lease.sentAt + this.lease.leaseMs;
    }

    /** Returns undefined when the order may be sent now. */
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
        if (this.switches.fencingWait && !endpointChecksFencing && now < this.waitUntil) {
            return { kind: "wait", until: this.waitUntil };
        }
        return undefined;
    }

    /** Latest instant at which an attempt to send the order must have ended; the deadline of the call. */
    deadlineFor(order: IssuedOrder): number {
        return Math.min(this.leaseEndsAt ?? Number.NEGATIVE_INFINITY, order.sentAt + order.validForMs);
    }
}
