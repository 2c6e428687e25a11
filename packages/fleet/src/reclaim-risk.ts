/** Time for which a loss counts, in milliseconds. */
const lossWindowMs = 60_000;
/** Prior of the loss rate: one loss in this time, summed over failure domains, in milliseconds. */
const priorDomainMs = 60_000;

/** Estimates the probability that a failure domain loses its reclaimable replicas from the observed losses. */
export class ReclaimRisk {
    private lossTimes: number[] = [];
    private observedSince: number | undefined;

    /** Advances the observation to `now` and discards old losses. */
    advance(now: number): void {
        this.observedSince ??= now;
        this.lossTimes = this.lossTimes.filter(lossAt => now - lossAt < lossWindowMs);
    }

    /** Records that a domain lost replicas for which no reduction was ordered. */
    recordLoss(now: number): void {
        this.lossTimes.push(now);
    }

    /** Returns the probability that one given domain of `domains` loses its reclaimable replicas within `horizonMs`. */
    probabilityWithin(horizonMs: number, domains: number, now: number): number {
        const observedDomainMs = Math.min(lossWindowMs, now - (this.observedSince ?? now)) * domains;
        return 1 - Math.exp(-horizonMs * (1 + this.lossTimes.length) / (priorDomainMs + observedDomainMs));
    }
}
