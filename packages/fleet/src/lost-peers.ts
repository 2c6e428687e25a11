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
 * Bridges the time between the loss of a hub or of many peers and the next view of the fleet: for a moment, those that
 * fell silent are taken to use the caps as they did before, which is closer to the truth than that they use all they may.
 */
export class LostPeers {
    private readonly rates = new Map<string, UseRate>();
    private covered = 1;
    private coveredBefore = 1;
    private assumedUntil = -Infinity;

    /** Takes units that others have used. */
    used(workspace: string, units: number, now: number): void {
        const rate = this.rates.get(workspace) ?? new UseRate();
        this.rates.set(workspace, rate);
        rate.add(units, now);
    }

    /** Takes of how many ingresses the use is heard, and returns of how many it is known or assumed. */
    cover(covered: number, now: number): number {
        if (covered < this.covered && now >= this.assumedUntil) {
            this.coveredBefore = this.covered;
            this.assumedUntil = now + assumedMs;
        }
        this.covered = covered;
        return now < this.assumedUntil ? Math.max(covered, this.coveredBefore) : covered;
    }

    /** Units that those which fell silent are assumed to use in a millisecond. */
    assumedPerMs(workspace: string, now: number): number {
        const lost = this.coveredBefore - this.covered;
        if (now >= this.assumedUntil || lost <= 0) {
            return 0;
        }
        return (this.rates.get(workspace)?.perMs(this.assumedUntil - assumedMs) ?? 0) * lost / (this.coveredBefore - 1);
    }
}
