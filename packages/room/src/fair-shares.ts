/** Offered work by rank and workspace, in any one unit. */
export type OfferedWork = ReadonlyMap<number, ReadonlyMap<string, number>>;

/** Part of the capacity that a less urgent rank keeps when more urgent ones would take all of it. */
export const minRankPart = 0.05;

/**
 * Returns the largest amount that each of the demands may get when `capacity` is shared by max-min fairness: nobody gets
 * more than it asks for, and nobody gets less than another one that gets less than it asks for. Infinity if all fit.
 */
export function fairLimit(demands: readonly number[], capacity: number): number {
    const ascending = [...demands].sort((a, b) => a - b);
    let remaining = capacity;
    for (const [i, demand] of ascending.entries()) {
        const equalPart = remaining / (ascending.length - i);
        if (demand > equalPart) {
            return Math.max(0, equalPart);
        }
        remaining -= demand;
    }
    return Infinity;
}

/** What a rank gets. */
export interface RankGrant {
    /** The largest amount that one workspace may get; Infinity for a rank that is admitted whole. */
    limit: number;
    /** Whether the rank gets only the part that each rank keeps. */
    isLeast: boolean;
}

/** Divides `capacity` among the ranks in order of urgency, and returns what each of them gets. */
export function divideCapacity(offered: OfferedWork, capacity: number): Map<number, RankGrant> {
    const ranks = [...offered].sort(([a], [b]) => a - b).map(([rank, workspaces]) => {
        const demands = [...workspaces.values()];
        const total = demands.reduce((sum, demand) => sum + demand, 0);
        return { rank, demands, total, floor: Math.min(total, capacity * minRankPart) };
    });
    let kept = ranks.reduce((sum, { floor }) => sum + floor, 0);
    let remaining = capacity;
    const grants = new Map<number, RankGrant>();
    for (const { rank, demands, total, floor } of ranks) {
        kept -= floor;
        const granted = Math.min(total, Math.max(floor, remaining - kept));
        remaining -= granted;
        grants.set(rank, { limit: fairLimit(demands, granted), isLeast: granted < total && granted <= floor });
    }
    return grants;
}
