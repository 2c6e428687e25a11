/** Time for which lost peers are assumed to continue their use, in milliseconds. */
const peerUseAssumedMs = 1_200;
/** Time constant of the average of the peers' use, in milliseconds. */
const useAverageMs = 1_500;

/** Exponential average of the use in units per millisecond. */
class UseRate {
    private decayedUnits = 0;
    private updatedAt = -Infinity;

    add(units: number, now: number): void {
        this.decayedUnits = this.decayed(now) + units;
        this.updatedAt = now;
    }

    perMs(now: number): number {
        return Math.max(0, this.decayed(now) / useAverageMs);
    }

    private decayed(now: number): number {
        return this.decayedUnits === 0 ? 0 : this.decayedUnits * Math.exp(-(now - this.updatedAt) / useAverageMs);
    }
}

/**
 * Estimates the spare part of a cap between the loss of many peers and the leader's next count of the fleet. Lost peers
 * are assumed to continue their use for a short time; the remaining ingresses share the rest of the lost peers' part.
 */
export class SpareCapEstimate {
    private readonly rates = new Map<string, UseRate>();
    private coveredMembers = 1;
    private coveredBeforeLoss = 1;
    private lossDetectedAt = -Infinity;

    /** Counts units used by peers. */
    recordPeerUse(workspace: string, units: number, now: number): void {
        const rate = this.rates.get(workspace) ?? new UseRate();
        this.rates.set(workspace, rate);
        rate.add(units, now);
    }

    /** Sets the number of ingresses whose use is reported here; a decrease is a loss of peers. */
    setCoveredMembers(coveredMembers: number, now: number): void {
        if (coveredMembers < this.coveredMembers && now >= this.lossDetectedAt + peerUseAssumedMs) {
            this.coveredBeforeLoss = this.coveredMembers;
            this.lossDetectedAt = now;
        }
        this.coveredMembers = coveredMembers;
    }

    /** Returns this ingress's share of the part of a cap that the lost peers leave unused, in units per millisecond. */
    sparePerMs(workspace: string, capPerMs: number, members: number, now: number): number {
        const lostMembers = this.coveredBeforeLoss - this.coveredMembers;
        if (now >= this.lossDetectedAt + peerUseAssumedMs || lostMembers <= 0) {
            return 0;
        }
        const assumedUsePerMs = (this.rates.get(workspace)?.perMs(this.lossDetectedAt) ?? 0) * lostMembers
            / (this.coveredBeforeLoss - 1);
        return Math.max(0, capPerMs * lostMembers / members - assumedUsePerMs) * this.coveredMembers
            / this.coveredBeforeLoss;
    }
}
