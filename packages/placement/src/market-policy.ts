import type { RandomSource } from "@lentilramp/runtime";
import type { PlacementOptions } from "./options.ts";
import type { ReclaimRate } from "./reclaim-rate.ts";
import type { Market } from "./types.ts";

/** Strategy that decides in which market new instances of a failure domain are started. */
export abstract class MarketPolicy {
    abstract onStartRefused(failureDomain: string, market: Market, now: number): void;
    abstract update(failureDomain: string, now: number): void;
    /** Whether on-demand instances are preferred to reclaimable instances in the failure domain. */
    abstract inFallback(failureDomain: string): boolean;
    /** Whether starts in this market are held back because the last start was refused. */
    abstract backsOff(failureDomain: string, market: Market, now: number): boolean;
}

interface Refusals {
    refusedAt: number[];
    retryAt: number;
}

/**
 * Falls back to on-demand instances at once after a reclaim wave or repeated refusals, and returns to reclaimable
 * instances after a hold time without either.
 */
export class HysteresisMarket extends MarketPolicy {
    private readonly refusals = new Map<string, Refusals>();
    private readonly fallbackEndsAt = new Map<string, number>();

    constructor(
        private readonly options: PlacementOptions,
        private readonly reclaimRate: ReclaimRate,
        private readonly random: RandomSource,
    ) {
        super();
    }

    override onStartRefused(failureDomain: string, market: Market, now: number): void {
        const key = `${failureDomain}/${market}`;
        const recentRefusals = (this.refusals.get(key)?.refusedAt ?? []).filter(instant =>
            instant > now - this.options.waveWindowMs
        );
        // Jitter keeps the regions from retrying at the same time.
        const retryAt = now + this.options.refusalBackOffMs * (1 + this.random.next() * 0.5);
        this.refusals.set(key, { refusedAt: [...recentRefusals, now], retryAt });
    }

    override update(failureDomain: string, now: number): void {
        const recentRefusals = (this.refusals.get(`${failureDomain}/reclaimable`)?.refusedAt ?? [])
            .filter(instant => instant > now - this.options.waveWindowMs);
        if (this.reclaimRate.inReclaimWave(failureDomain) || recentRefusals.length >= this.options.refusalsToFallBack) {
            this.fallbackEndsAt.set(failureDomain, now + this.options.fallbackHoldMs);
        }
        else if ((this.fallbackEndsAt.get(failureDomain) ?? now) <= now) {
            this.fallbackEndsAt.delete(failureDomain);
        }
    }

    override inFallback(failureDomain: string): boolean {
        return this.fallbackEndsAt.has(failureDomain);
    }

    override backsOff(failureDomain: string, market: Market, now: number): boolean {
        return (this.refusals.get(`${failureDomain}/${market}`)?.retryAt ?? now) > now;
    }
}
