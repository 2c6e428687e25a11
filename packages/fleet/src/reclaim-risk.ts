/** Losses of the last this many milliseconds count. */
const windowMs = 60_000;
/** What is assumed before anything was seen: one loss in this time, in milliseconds of one failure domain. */
const priorMs = 60_000;

/** How likely a failure domain loses its reclaimable replicas, learnt from the losses that were seen. */
export class ReclaimRisk {
    private losses: number[] = [];
    private since: number | undefined;

    /** Notes the time that passes. */
    advance(now: number): void {
        this.since ??= now;
        this.losses = this.losses.filter(at => now - at < windowMs);
    }

    /** Notes that a domain lost replicas that nobody had given back. */
    recordLoss(now: number): void {
        this.losses.push(now);
    }

    /** Probability that a given domain of `domains` loses its reclaimable replicas within a time. */
    probabilityWithin(horizonMs: number, domains: number, now: number): number {
        const seenMs = Math.min(windowMs, now - (this.since ?? now)) * domains;
        return 1 - Math.exp(-horizonMs * (1 + this.losses.length) / (priorMs + seenMs));
    }
}
