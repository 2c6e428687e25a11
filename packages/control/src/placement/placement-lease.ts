import { type IssuedOrder, OrderGate } from "@lentilramp/configuration";
import { DutyLease } from "@lentilramp/placement";
import type { Clock } from "@lentilramp/runtime";
import type { CommandProposer } from "../command-proposer.ts";

export const placementDuty = "placement";
/** A notice gives a few seconds, so a lost holder must be replaced within that time. */
const leaseMs = 3_000;
const renewBeforeMs = 2_000;
/** Longest validity of an order, which the next holder waits for when the receiver ignores fencing numbers. */
const orderMs = 2_000;

/** The lease of the placement duty, held by the leader of the control group. */
export class PlacementLease extends DutyLease {
    private readonly gate = new OrderGate();
    private fencing: number | undefined;
    private acquisitions = 0;
    private issued = 0;

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

    /** Acquires or renews; afterwards `fencingAt` says whether the duty is held. */
    async hold(region: string): Promise<void> {
        const sentAt = this.clock.now();
        const common = { region, duty: placementDuty, holder: this.holder, leaseMs };
        const fencing = this.fencingAt(sentAt);
        if (fencing !== undefined) {
            if ((this.gate.leaseEndsAt ?? sentAt) - sentAt > renewBeforeMs) {
                return;
            }
            const renewed = await this.proposer.propose({ type: "duty-renew", ...common, fencing });
            if (renewed.ok) {
                this.gate.onLeaseRenewed(sentAt, leaseMs);
                return;
            }
            this.lose();
        }
        const operationId = `placement-acquire-${this.holder.slice(0, 64)}-${Math.floor(sentAt)}-${this
            .acquisitions++}`;
        const acquired = await this.proposer.propose({ type: "duty-acquire", operationId, ...common });
        if (acquired.ok && acquired.fencing !== undefined) {
            this.fencing = acquired.fencing;
            this.gate.onLeaseAcquired(
                { fencing: this.fencing, sentAt, leaseMs },
                acquired.orderWaitMs ?? 0,
                this.clock.now(),
            );
        }
    }

    lose(): void {
        this.fencing = undefined;
        this.gate.onLeaseLost();
    }

    /**
     * Returns the instant until which an order to the cloud API may be sent, or undefined when it must not be sent now.
     * The replicated state records orders to endpoints only. An order to the cloud API ends with the lease instead,
     * and the next holder's lease begins after that.
     */
    permit(fencing: number): number | undefined {
        const now = this.clock.now();
        const order: IssuedOrder = { fencing, sentAt: now, validForMs: orderMs };
        return this.gate.check(order, false, now) === undefined ? this.gate.deadlineFor(order) : undefined;
    }

    /**
     * Records the order in the replicated state. Returns the instant until which it may be sent, or undefined when it
     * must not be sent now.
     */
    async issue(
        region: string,
        order: { operationId: string; fencing: number; },
        endpoint: string,
        action: string,
        checksFencing: boolean,
    ): Promise<number | undefined> {
        const sentAt = this.clock.now();
        const issuedOrder: IssuedOrder = { fencing: order.fencing, sentAt, validForMs: orderMs };
        if (this.gate.check(issuedOrder, checksFencing, sentAt) !== undefined) {
            return undefined;
        }
        const result = await this.proposer.propose({
            type: "order-issue",
            // A repeated order is recorded anew, since the kept result of the first record would not prolong it.
            operationId: `${order.operationId}-${order.fencing}-${this.issued++}`,
            region,
            duty: placementDuty,
            holder: this.holder,
            fencing: order.fencing,
            endpoint,
            action,
            validForMs: orderMs,
        });
        if (!result.ok) {
            if (result.error === "stale-fencing" || result.error === "expired") {
                this.lose();
            }
            return undefined;
        }
        const refusal = this.gate.check(issuedOrder, checksFencing, this.clock.now());
        return refusal === undefined ? this.gate.deadlineFor(issuedOrder) : undefined;
    }
}
