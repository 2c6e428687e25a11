import { capPoolPart } from "./cap-pool.ts";

/**
 * Part of each cap that is split evenly and needs no contact. Caps are set at about twice the usual load, so that it
 * serves half of that while nobody leads, and more from full buckets.
 */
const floorPart = 0.3;
/** Part of each cap that follows demand; the rest is drawn request by request. */
const demandPart = 1 - floorPart - capPoolPart;
/** Weight of the newest demand in the moving average. */
const demandWeight = 0.4;
/** Demand of each member that counts in any case, relative to an even split; keeps a new arrival from starting at 0. */
const evenWeight = 0.1;

/** Splits each workspace's cap over the ingresses. Runs at the leader. */
export class CapShares {
    private readonly demand = new Map<string, Map<string, number>>();

    /** Takes the units that an ingress was asked for over `elapsedMs`. */
    observe(ingress: string, asked: Readonly<Record<string, number>>, elapsedMs: number): void {
        const own = this.demand.get(ingress) ?? new Map<string, number>();
        const perMs = elapsedMs > 0 ? 1 / elapsedMs : 0;
        for (const workspace of new Set([...own.keys(), ...Object.keys(asked)])) {
            const rate = (asked[workspace] ?? 0) * perMs;
            own.set(workspace, (own.get(workspace) ?? 0) * (1 - demandWeight) + rate * demandWeight);
        }
        this.demand.set(ingress, own);
    }

    forget(ingress: string): void {
        this.demand.delete(ingress);
    }

    /** Floor of one of `members` ingresses; none before their number is known. */
    static floor(members: number): number {
        return members > 0 ? floorPart / members : 0;
    }

    /**
     * Share of one ingress. `live` are those in contact; `members` counts also the silent ones, whose floor stays
     * reserved because they may still use it.
     */
    share(ingress: string, workspace: string, live: readonly string[], members: number): number {
        const demands = live.map(name => this.demand.get(name)?.get(workspace) ?? 0);
        const total = demands.reduce((sum, value) => sum + value, 0);
        const even = total > 0 ? total * evenWeight / live.length : 1;
        const own = (this.demand.get(ingress)?.get(workspace) ?? 0) + even;
        return CapShares.floor(members) + demandPart * own / (total + even * live.length);
    }
}
