/** Time in which the reports of ingresses lose half of their weight, in milliseconds. */
const halfLifeMs = 1_000;
/** Samples without a deviation that the factor of an endpoint starts from. */
const priorSamples = 2;
/** Samples that one report counts for at most, so that one ingress does not decide for the fleet. */
const maxSamples = 16;
/** Bounds of a reported factor. */
const maxFactor = 8;
/** Deviation from 1 from which a factor is passed on. */
const minDeviationLog = Math.log(1.1);
/** Entries of an answer, those with the largest deviation first; about 700 bytes. */
const maxEntries = 32;
/** Weight below which an endpoint is forgotten. */
const minSamples = 0.05;
/** Endpoints that are remembered; it is above the number of replicas of the largest fleet. */
const maxEndpoints = 16_384;

interface MergedPace {
    /** Sum of the factors, each times its samples. */
    sum: number;
    samples: number;
    at: number;
}

/** Merges what the ingresses see of the pace of endpoints into one factor for each. Used by the leader. */
export class PaceMerge {
    private readonly paces = new Map<string, MergedPace>();

    /** Records the report of an ingress: by endpoint, a factor and the number of samples since its last report. */
    record(reports: Readonly<Record<string, readonly [number, number]>> | undefined, now: number): void {
        for (const [id, [factor, samples]] of Object.entries(reports ?? {})) {
            const weight = Math.min(maxSamples, samples);
            const bounded = Math.min(maxFactor, Math.max(1 / maxFactor, factor));
            if (Number.isFinite(bounded) && weight > 0 && (this.paces.has(id) || this.paces.size < maxEndpoints)) {
                const known = this.paces.get(id);
                const part = known === undefined ? 0 : remaining(known, now);
                this.paces.set(id, {
                    sum: (known?.sum ?? 0) * part + bounded * weight,
                    samples: (known?.samples ?? 0) * part + weight,
                    at: now,
                });
            }
        }
    }

    /**
     * Returns the factor of each endpoint that differs from 1 by over 10%, of those with the largest deviation; undefined
     * if there are none. Forgets endpoints without fresh reports.
     */
    factors(now: number): Record<string, number> | undefined {
        const found: { id: string; log: number; }[] = [];
        for (const [id, pace] of this.paces) {
            const samples = pace.samples * remaining(pace, now);
            if (samples < minSamples) {
                this.paces.delete(id);
                continue;
            }
            const log = Math.log(pace.sum / pace.samples) * samples / (samples + priorSamples);
            if (Math.abs(log) > minDeviationLog) {
                found.push({ id, log });
            }
        }
        found.sort((a, b) => Math.abs(b.log) - Math.abs(a.log));
        return found.length === 0
            ? undefined
            : Object.fromEntries(
                found.slice(0, maxEntries).map(({ id, log }) => [id, Math.round(Math.exp(log) * 100) / 100]),
            );
    }

    /** Forgets all endpoints except those of the list. */
    retain(endpoints: readonly { id: string; }[]): void {
        const ids = new Set(endpoints.map(({ id }) => id));
        for (const id of this.paces.keys()) {
            if (!ids.has(id)) {
                this.paces.delete(id);
            }
        }
    }
}

function remaining({ at }: MergedPace, now: number): number {
    return 2 ** (-Math.max(0, now - at) / halfLifeMs);
}
