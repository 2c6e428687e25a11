import type { ExchangeScope } from "./exchange-topology.ts";

/** Cumulative units by workspace, counted from a start that only the sender knows. */
export type CapUseCounts = Readonly<Record<string, number>>;

interface PeerUse {
    lifetime: string;
    /** Totals of the peer's last report, by workspace. */
    lastTotals: Map<string, number>;
    /** Units counted from the peer's reports over all of its lifetimes, by workspace. */
    countedUnits: Map<string, number>;
    /** Set of ingresses that the totals cover. */
    scope: ExchangeScope;
}

/**
 * Units of each cap used by this ingress and by its peers. Ingresses exchange cumulative totals, so that lost or
 * repeated messages do no harm, and use during an interruption is counted with the next report.
 */
export class CapUseTotals {
    private readonly localUse = new Map<string, number>();
    private readonly peers = new Map<string, PeerUse>();
    private readonly groupMemberUse = new Map<string, number>();
    private readonly remoteUse = new Map<string, number>();

    /** Counts units that this ingress admitted; a negative number counts refunded units. */
    recordLocalUse(workspace: string, units: number): void {
        add(this.localUse, workspace, units);
    }

    /**
     * Merges the totals of a peer and returns their growth by workspace. A peer's first totals are only a baseline, and
     * so are the first ones after a change of scope, because they cover other ingresses.
     */
    mergePeerTotals(peer: string, lifetime: string, counts: CapUseCounts, scope: ExchangeScope): Map<string, number> {
        const known = this.peers.get(peer);
        const state = known ?? { lifetime, lastTotals: new Map(), countedUnits: new Map(), scope };
        this.peers.set(peer, state);
        const isBaseline = known === undefined || known.scope !== scope;
        if (isBaseline || known.lifetime !== lifetime) {
            // A restarted process counts from zero.
            state.lifetime = lifetime;
            state.scope = scope;
            state.lastTotals.clear();
        }
        const increments = new Map<string, number>();
        for (const [workspace, sum] of Object.entries(counts)) {
            const units = isBaseline ? 0 : sum - (state.lastTotals.get(workspace) ?? 0);
            state.lastTotals.set(workspace, sum);
            if (units !== 0) {
                increments.set(workspace, units);
                add(state.countedUnits, workspace, units);
                add(this.remoteUse, workspace, units);
                if (scope === "own") {
                    add(this.groupMemberUse, workspace, units);
                }
            }
        }
        return increments;
    }

    /** Returns the units used by this ingress, by workspace. */
    localTotals(): ReadonlyMap<string, number> {
        return this.localUse;
    }

    /** Returns the units used by this ingress and the members of its group, by workspace. */
    groupTotals(): Map<string, number> {
        return sumOf(this.localUse, this.groupMemberUse);
    }

    /** Returns the units used by all covered ingresses except those reported by `peer`, by workspace. */
    fleetTotalsExcluding(peer: string): Map<string, number> {
        const total = sumOf(this.localUse, this.remoteUse);
        for (const [workspace, units] of this.peers.get(peer)?.countedUnits ?? []) {
            add(total, workspace, -units);
        }
        return total;
    }
}

function add(sums: Map<string, number>, workspace: string, units: number): void {
    sums.set(workspace, (sums.get(workspace) ?? 0) + units);
}

function sumOf(a: ReadonlyMap<string, number>, b: ReadonlyMap<string, number>): Map<string, number> {
    const sum = new Map(a);
    for (const [workspace, units] of b) {
        add(sum, workspace, units);
    }
    return sum;
}
