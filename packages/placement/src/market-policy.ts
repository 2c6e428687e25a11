import type { RandomSource } from "@lentilramp/runtime";
import type { PlacementOptions } from "./options.ts";
import type { ReclaimRate } from "./reclaim-rate.ts";
import type { Market } from "./types.ts";

/** Decides in which market new instances of a failure domain are started. */
export abstract class MarketPolicy {
    abstract onStartRefused(failureDomain: string, market: Market, now: number): void;
    abstract update(failureDomain: string, now: number): void;
    /** True while reclaimable instances are not started there. */
    abstract inFallback(failureDomain: string): boolean;
    /** True while a start in this market is known to be refused. */
    abstract backsOff(failureDomain: string, market: Market, now: number): boolean;
}

interface Refusals {
    instants: number[];
    retryAt: number;
}

/** Falls back at once on waves and refusals, and returns after a hold time without either. */
export class HysteresisMarket extends MarketPolicy {
    private readonly refusals = new Map<string, Refusals>();
    private readonly fallenBackUntil = new Map<string, number>();

    constructor(
        private readonly options: PlacementOptions,
        private readonly rate: ReclaimRate,
        private readonly random: RandomSource,
    ) {
        super();
    }

    override onStartRefused(failureDomain: string, market: Market, now: number): void {
        const key = `${failureDomain}/${market}`;
        const instants = (this.refusals.get(key)?.instants ?? []).filter(at => at > now - this.options.waveWindowMs);
        // The random part keeps the regions from trying again at the same instant.
        const retryAt = now + this.options.refusalBackOffMs * (1 + this.random.next() * 0.5);
        this.refusals.set(key, { instants: [...instants, now], retryAt });
    }

    override update(failureDomain: string, now: number): void {
        const refusals = (this.refusals.get(`${failureDomain}/reclaimable`)?.instants ?? [])
            .filter(at => at > now - this.options.waveWindowMs);
        if (this.rate.inReclaimWave(failureDomain) || refusals.length >= this.options.refusalsToFallBack) {
            this.fallenBackUntil.set(failureDomain, now + this.options.fallbackHoldMs);
        }
        else if ((this.fallenBackUntil.get(failureDomain) ?? now) <= now) {
            this.fallenBackUntil.delete(failureDomain);
        }
    }

    override inFallback(failureDomain: string): boolean {
        return this.fallenBackUntil.has(failureDomain);
    }

    override backsOff(failureDomain: string, market: Market, now: number): boolean {
        return (this.refusals.get(`${failureDomain}/${market}`)?.retryAt ?? now) > now;
    }
}
