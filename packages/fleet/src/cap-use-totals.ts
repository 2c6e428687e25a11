import type { ExchangeScope } from "./exchange-topology.ts";

/** Units by workspace; a sum since a start that only the owner knows. */
export type CapUseCounts = Readonly<Record<string, number>>;

interface PeerUse {
    lifetime: string;
    /** What the peer last said. */
    last: Map<string, number>;
    /** What was taken over from it, over all of its lifetimes. */
    taken: Map<string, number>;
    /** What the sums contain. */
    scope: ExchangeScope;
}

/**
 * What this ingress and the others have used of each cap. Each one tells sums, so that a message which is lost or
 * repeated changes nothing; what a peer used while it was not heard is counted when it is heard again.
 */
export class CapUseTotals {
    private readonly own = new Map<string, number>();
    private readonly peers = new Map<string, PeerUse>();
    private readonly members = new Map<string, number>();
    private readonly all = new Map<string, number>();

    /** Counts units that this ingress admitted; negative for units given back. */
    recordLocalUse(workspace: string, units: number): void {
        add(this.own, workspace, units);
    }

    /**
     * Takes the sums of a peer and returns by how much they grew. The first ones of a peer are a starting point, and
     * so are the first ones of another scope, which contain other ingresses.
     */
    mergePeerTotals(peer: string, lifetime: string, counts: CapUseCounts, scope: ExchangeScope): Map<string, number> {
        const held = this.peers.get(peer);
        const state = held ?? { lifetime, last: new Map(), taken: new Map(), scope };
        this.peers.set(peer, state);
        const starts = held === undefined || held.scope !== scope;
        if (starts || held.lifetime !== lifetime) {
            // A new run of the process counts from nothing.
            state.lifetime = lifetime;
            state.scope = scope;
            state.last.clear();
        }
        const grown = new Map<string, number>();
        for (const [workspace, sum] of Object.entries(counts)) {
            const units = starts ? 0 : sum - (state.last.get(workspace) ?? 0);
            state.last.set(workspace, sum);
            if (units !== 0) {
                grown.set(workspace, units);
                add(state.taken, workspace, units);
                add(this.all, workspace, units);
                if (scope === "own") {
                    add(this.members, workspace, units);
                }
            }
        }
        return grown;
    }

    /** Sums that this ingress itself has used. */
    localTotals(): ReadonlyMap<string, number> {
        return this.own;
    }

    /** Sums of this ingress and the members of its group. */
    groupTotals(): Map<string, number> {
        return sumOf(this.own, this.members);
    }

    /** Sums of all that are known, less those that `peer` told. */
    fleetTotalsExcluding(peer: string): Map<string, number> {
        const total = sumOf(this.own, this.all);
        for (const [workspace, units] of this.peers.get(peer)?.taken ?? []) {
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
