import { type IssuedOrder, OrderGate } from "@lentilramp/configuration";
import { DutyLease } from "@lentilramp/placement";
import type { Clock } from "@lentilramp/runtime";
import type { CommandProposer } from "../command-proposer.ts";

/** Name of the duty in the replicated state. */
export const placementDuty = "placement";
/** A reclaim notice leaves a few seconds, within which a failed holder must be replaced. */
const leaseMs = 3_000;
/** Remaining lease time from which the holder renews the lease. */
const renewBeforeMs = 2_000;
/** Validity of an order. The next holder waits until it has passed for receivers that do not check fencing numbers. */
const orderValidityMs = 2_000;

/** Lease of the placement duty, which the leader of the control group holds. */
export class PlacementLease extends DutyLease {
    private readonly gate = new OrderGate();
    private fencing: number | undefined;
    private acquireAttempts = 0;
    private issuedOrders = 0;

    constructor(
        private readonly holder: string,
        private readonly proposer: Pick<CommandProposer, "propose">,
        private readonly clock: Clock,
    ) {
        super();
    }

    override fencingAt(now: number): number | undefined {
        return now < (this.gate.leaseEndsAt ?? Number.NEGATIVE_INFINITY) ? this.fencing : undefined;
    }

    /** Acquires the lease, or renews it if it ends soon. `fencingAt` then returns undefined if this has failed. */
    async acquireOrRenew(region: string): Promise<void> {
        const sentAt = this.clock.now();
        const leaseFields = { region, duty: placementDuty, holder: this.holder, leaseMs };
        const fencing = this.fencingAt(sentAt);
        if (fencing !== undefined) {
            if ((this.gate.leaseEndsAt ?? sentAt) - sentAt > renewBeforeMs) {
                return;
            }
            const renewed = await this.proposer.propose({ type: "duty-renew", ...leaseFields, fencing });
            if (renewed.ok) {
                this.gate.onLeaseRenewed(sentAt, leaseMs);
                return;
            }
            this.invalidate();
        }
        const operationId = `placement-acquire-${this.holder.slice(0, 64)}-${Math.floor(sentAt)}-${this
            .acquireAttempts++}`;
        const acquired = await this.proposer.propose({ type: "duty-acquire", operationId, ...leaseFields });
        if (acquired.ok && acquired.fencing !== undefined) {
            this.fencing = acquired.fencing;
            this.gate.onLeaseAcquired(
                { fencing: this.fencing, sentAt, leaseMs },
                acquired.orderWaitMs ?? 0,
                this.clock.now(),
            );
        }
    }

    /** Stops all orders until the lease is acquired again. */
    invalidate(): void {
        this.fencing = undefined;
        this.gate.onLeaseLost();
    }

    /**
     * Returns the instant until which an order to the cloud API may be sent, or undefined if it must not be sent now.
     * The replicated state records only orders to endpoints. An order to the cloud API instead expires with the lease
     * at the latest, before the lease of the next holder begins.
     */
    cloudOrderDeadline(fencing: number): number | undefined {
        const now = this.clock.now();
        const order: IssuedOrder = { fencing, sentAt: now, validForMs: orderValidityMs };
        return this.gate.check(order, false, now) === undefined ? this.gate.deadlineFor(order) : undefined;
    }

    /**
     * Records an order to an engine in the replicated state. Returns the instant until which the order may be sent, or
     * undefined if it must not be sent now.
     */
    async issueEngineOrder(
        region: string,
        order: { operationId: string; fencing: number; },
        endpoint: string,
        action: string,
        checksFencing: boolean,
    ): Promise<number | undefined> {
        const sentAt = this.clock.now();
        const issuedOrder: IssuedOrder = { fencing: order.fencing, sentAt, validForMs: orderValidityMs };
        if (this.gate.check(issuedOrder, checksFencing, sentAt) !== undefined) {
            return undefined;
        }
        const result = await this.proposer.propose({
            type: "order-issue",
            // The counter gives a repeated order a new id. With the same id, the store would return the first result
            // and would not extend the validity.
            operationId: `${order.operationId}-${order.fencing}-${this.issuedOrders++}`,
            region,
            duty: placementDuty,
            holder: this.holder,
            fencing: order.fencing,
            endpoint,
            action,
            validForMs: orderValidityMs,
        });
        if (!result.ok) {
            if (result.error === "stale-fencing" || result.error === "expired") {
                this.invalidate();
            }
            return undefined;
        }
        const refusal = this.gate.check(issuedOrder, checksFencing, this.clock.now());
        return refusal === undefined ? this.gate.deadlineFor(issuedOrder) : undefined;
    }
}
