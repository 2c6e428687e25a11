/** Time for which peers that are no longer heard are taken to go on as before, in milliseconds. */
const assumedMs = 1_200;
/** Time over which the use of the others is averaged, in milliseconds. */
const averageMs = 1_500;

/** Units in a unit of time, as an exponential average. */
class UseRate {
    private sum = 0;
    private at = -Infinity;

    add(units: number, now: number): void {
        this.sum = this.decayed(now) + units;
        this.at = now;
    }

    perMs(now: number): number {
        return Math.max(0, this.decayed(now) / averageMs);
    }

    private decayed(now: number): number {
        return this.sum === 0 ? 0 : this.sum * Math.exp(-(now - this.at) / averageMs);
    }
}

/**
 * Bridges the time between the loss of many peers and the leader's next view of the fleet: for a moment, those that fell
 * silent are taken to use the caps as they did before, and what that leaves of their part is shared by the others.
 */
export class SpareCapEstimate {
    private readonly rates = new Map<string, UseRate>();
    private covered = 1;
    private coveredBefore = 1;
    private lostAt = -Infinity;

    /** Takes units that others have used. */
    recordPeerUse(workspace: string, units: number, now: number): void {
        const rate = this.rates.get(workspace) ?? new UseRate();
        this.rates.set(workspace, rate);
        rate.add(units, now);
    }

    /** Takes of how many ingresses the use is heard. */
    setCoveredMembers(covered: number, now: number): void {
        if (covered < this.covered && now >= this.lostAt + assumedMs) {
            this.coveredBefore = this.covered;
            this.lostAt = now;
        }
        this.covered = covered;
    }

    /** This ingress's share, in units a millisecond, of what the lost peers leave of their part of a cap. */
    sparePerMs(workspace: string, capPerMs: number, members: number, now: number): number {
        const lost = this.coveredBefore - this.covered;
        if (now >= this.lostAt + assumedMs || lost <= 0) {
            return 0;
        }
        const assumed = (this.rates.get(workspace)?.perMs(this.lostAt) ?? 0) * lost / (this.coveredBefore - 1);
        return Math.max(0, capPerMs * lost / members - assumed) * this.covered / this.coveredBefore;
    }
}
