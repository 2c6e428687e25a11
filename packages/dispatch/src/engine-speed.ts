/** Speed of an engine. */
export interface EngineSpeed {
    prefillTokensPerMs: number;
    /** Time of a step without any request. */
    stepMs: number;
    /** Time that each running request adds to a step. */
    stepMsPerRequest: number;
    /** Prompt tokens read in one step. */
    chunkTokens: number;
    /** Time from the end of the prompt to the first event. */
    firstEventMs: number;
    /** Time on the way there and back. */
    roundTripMs: number;
}

/** Assumed until requests have shown otherwise; reading is assumed to be slow, so that no engine is overloaded. */
export const engineSpeedDefaults: EngineSpeed = {
    prefillTokensPerMs: 25,
    stepMs: 3.55,
    stepMsPerRequest: 0.0462,
    chunkTokens: 2_048,
    firstEventMs: 45,
    roundTripMs: 10,
};

/** Unread tokens up to which the time to the first event shows what an engine takes in any case. */
const shortTokens = 600;
/** Unread tokens from which it shows how fast an engine reads. */
const longTokens = 2_500;
/** Samples of each kind from which the estimate is used, and those that are kept. */
const minSamples = 4;
const keptSamples = 40;
/** Part of the long prompts that were faster than the estimate: waiting makes them slower, a cached prompt faster. */
const fasterPart = 0.5;
/** Bounds of the estimate, in tokens for each millisecond. */
const minTokensPerMs = 5;
const maxTokensPerMs = 2_000;

interface Sample {
    unreadTokens: number;
    firstByteMs: number;
}

/**
 * Learns how fast the engines of a service read prompts, from the requests that found no prompt before them: by how
 * much longer a token of a long prompt takes than a short prompt as a whole.
 */
export class EngineSpeedEstimate {
    private short: number[] = [];
    private long: Sample[] = [];
    private own: EngineSpeed | undefined;
    private assumed: EngineSpeed;

    constructor(prefillTokensPerMs = engineSpeedDefaults.prefillTokensPerMs) {
        this.assumed = { ...engineSpeedDefaults, prefillTokensPerMs };
    }

    /** Whether the speed rests on enough samples of this process. */
    get isMeasured(): boolean {
        return this.own !== undefined;
    }

    get speed(): EngineSpeed {
        return this.own ?? this.assumed;
    }

    /** Takes what other processes have measured, which holds until this one has. */
    setFallbackRate(prefillTokensPerMs: number): void {
        if (prefillTokensPerMs !== this.assumed.prefillTokensPerMs) {
            this.assumed = { ...engineSpeedDefaults, prefillTokensPerMs };
        }
    }

    /** Takes the time to the first event of a request that had no unread prompt before it. */
    observe(unreadTokens: number, firstByteMs: number): void {
        if (unreadTokens <= shortTokens) {
            this.short = [...this.short, firstByteMs].slice(-keptSamples);
        }
        else if (unreadTokens >= longTokens) {
            this.long = [...this.long, { unreadTokens, firstByteMs }].slice(-keptSamples);
        }
        if (this.long.length >= minSamples) {
            const { stepMs, chunkTokens, firstEventMs, roundTripMs } = engineSpeedDefaults;
            const baseMs = this.short.length >= minSamples ? quantile(this.short, 0.5) : firstEventMs + roundTripMs;
            const perToken = quantile(
                this.long.map(long => (long.firstByteMs - baseMs) / long.unreadTokens),
                fasterPart,
            );
            const rate = 1 / Math.max(1 / maxTokensPerMs, perToken - stepMs / chunkTokens);
            this.own = { ...engineSpeedDefaults, prefillTokensPerMs: Math.max(minTokensPerMs, rate) };
        }
    }
}

function quantile(values: readonly number[], part: number): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length * part)] ?? 0;
}
