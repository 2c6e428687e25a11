import { extendForClockRateError } from "../rules/clock-rate.ts";
import type { RuleSwitches } from "../rules/rule-switches.ts";
import { type CommandResult, refused } from "./command-result.ts";
import type { DutyAcquireCommand, DutyReleaseCommand, DutyRenewCommand, OrderIssueCommand } from "./command.ts";
import type { DutyState, OrderRecord } from "./state.ts";

type HolderCommand = DutyRenewCommand | DutyReleaseCommand | OrderIssueCommand;

/**
 * Duties with their leases, fencing numbers and issued orders. All instants are state times. Leases and orders are
 * lengthened by the clock rate error here, because their holders count them by their own clocks.
 */
export class DutyTable {
    private readonly duties = new Map<string, DutyState>();
    private issued: OrderRecord[];

    constructor(
        duties: readonly DutyState[],
        orders: readonly OrderRecord[],
        private readonly switches: RuleSwitches,
    ) {
        duties.forEach(duty => this.duties.set(`${duty.region}/${duty.duty}`, duty));
        this.issued = [...orders];
    }

    get list(): DutyState[] {
        return [...this.duties.values()];
    }

    /** Issued orders that may still be valid. */
    get orders(): readonly OrderRecord[] {
        return this.issued;
    }

    acquire(command: DutyAcquireCommand, now: number, version: number): CommandResult {
        const key = `${command.region}/${command.duty}`;
        const duty = this.duties.get(key);
        const remainingMs = (duty?.leaseEndsAt ?? now) - now;
        if (duty?.holder !== undefined && duty.holder !== command.holder && remainingMs > 0) {
            const message = `${command.duty} is held by ${duty.holder}`;
            return refused("held", version, message, { retryAfterMs: remainingMs });
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
        const barrierMs = Math.max(0, ordersEndAt - now);
        const orderWaitMs = this.switches.fencingWait ? extendForClockRateError(barrierMs) : 0;
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
        this.issued = this.issued.filter(order => order.endsAt > now);
        this.issued.push({ operationId, region, duty: command.duty, fencing, endpoint, action, endsAt });
        this.put({ ...duty, ordersEndAt: Math.max(duty.ordersEndAt, endsAt) });
        return { ok: true, version, fencing };
    }

    private put(duty: DutyState): void {
        this.duties.set(`${duty.region}/${duty.duty}`, duty);
    }

    /** Returns the duty when the command comes from its current holder under a valid lease, else the refusal. */
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
