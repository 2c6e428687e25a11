import { extendForClockRateError } from "../rules/clock-rate.ts";
import type { RuleSwitches } from "../rules/rule-switches.ts";
import { type CommandResult, refused } from "./command-result.ts";
import type { DutyAcquireCommand, DutyReleaseCommand, DutyRenewCommand, OrderIssueCommand } from "./command.ts";
import type { DutyState, OrderRecord } from "./state.ts";

type HolderCommand = DutyRenewCommand | DutyReleaseCommand | OrderIssueCommand;

/**
 * Duties with their leases, fencing numbers and issued orders. All instants are state times. The table extends leases
 * and orders by the clock rate error, because the holders measure them by their local clocks.
 */
export class DutyTable {
    private readonly duties = new Map<string, DutyState>();
    private issuedOrders: OrderRecord[];

    constructor(
        duties: readonly DutyState[],
        orders: readonly OrderRecord[],
        private readonly switches: RuleSwitches,
    ) {
        duties.forEach(duty => this.duties.set(`${duty.region}/${duty.duty}`, duty));
        this.issuedOrders = [...orders];
    }

    get list(): DutyState[] {
        return [...this.duties.values()];
    }

    /** Recorded orders. Expired ones are removed when the next order is issued. */
    get orders(): readonly OrderRecord[] {
        return this.issuedOrders;
    }

    acquire(command: DutyAcquireCommand, now: number, version: number): CommandResult {
        const key = `${command.region}/${command.duty}`;
        const duty = this.duties.get(key);
        const remainingLeaseMs = (duty?.leaseEndsAt ?? now) - now;
        if (duty?.holder !== undefined && duty.holder !== command.holder && remainingLeaseMs > 0) {
            const message = `${command.duty} is held by ${duty.holder}`;
            return refused("held", version, message, { retryAfterMs: remainingLeaseMs });
        }
        const fencing = (duty?.fencing ?? 0) + 1;
        const ordersEndAt = duty?.ordersEndAt ?? now;
        this.duties.set(key, {
            region: command.region,
            duty: command.duty,
            holder: command.holder,
            fencing,
            leaseEndsAt: now + extendForClockRateError(command.leaseMs),
            ordersEndAt,
        });
        const remainingOrderMs = Math.max(0, ordersEndAt - now);
        const orderWaitMs = this.switches.fencingWait ? extendForClockRateError(remainingOrderMs) : 0;
        return { ok: true, version, fencing, orderWaitMs };
    }

    renew(command: DutyRenewCommand, now: number, version: number): CommandResult {
        const duty = this.requireHolder(command, now, version);
        if ("ok" in duty) {
            return duty;
        }
        this.put({ ...duty, leaseEndsAt: Math.max(duty.leaseEndsAt, now + extendForClockRateError(command.leaseMs)) });
        return { ok: true, version, fencing: duty.fencing };
    }

    release(command: DutyReleaseCommand, now: number, version: number): CommandResult {
        const duty = this.requireHolder(command, now, version);
        if ("ok" in duty) {
            return duty;
        }
        this.put({ ...duty, holder: undefined, leaseEndsAt: now });
        return { ok: true, version, fencing: duty.fencing };
    }

    issueOrder(command: OrderIssueCommand, now: number, version: number): CommandResult {
        const duty = this.requireHolder(command, now, version);
        if ("ok" in duty) {
            return duty;
        }
        const { operationId, region, endpoint, action, fencing } = command;
        const endsAt = now + extendForClockRateError(command.validForMs);
        this.issuedOrders = this.issuedOrders.filter(order => order.endsAt > now);
        this.issuedOrders.push({ operationId, region, duty: command.duty, fencing, endpoint, action, endsAt });
        this.put({ ...duty, ordersEndAt: Math.max(duty.ordersEndAt, endsAt) });
        return { ok: true, version, fencing };
    }

    private put(duty: DutyState): void {
        this.duties.set(`${duty.region}/${duty.duty}`, duty);
    }

    /** Returns the duty when its current holder sent the command under a valid lease, else a refusal. */
    private requireHolder(command: HolderCommand, now: number, version: number): DutyState | CommandResult {
        const duty = this.duties.get(`${command.region}/${command.duty}`);
        if (duty === undefined || duty.fencing !== command.fencing || duty.holder !== command.holder) {
            const message = `fencing number ${command.fencing} is not current; the newest is ${duty?.fencing ?? 0}`;
            return refused("stale-fencing", version, message);
        }
        if (duty.leaseEndsAt <= now) {
            return refused("expired", version, `the lease of ${command.duty} has ended; acquire it again`);
        }
        return duty;
    }
}
