/** Speed parameters of an engine. */
export interface EngineSpeed {
    prefillTokensPerMs: number;
    /** Duration of a decode step without requests. */
    stepMs: number;
    /** Time that each running request adds to a step. */
    stepMsPerRequest: number;
    /** Prompt tokens prefilled in one step. */
    chunkTokens: number;
    /** Time from the end of the prefill to the first event. */
    firstEventMs: number;
    /** Network round-trip time. */
    roundTripMs: number;
}

/** Speed used until an estimate exists. The prefill rate is low, so that no engine is overloaded. */
export const engineSpeedDefaults: EngineSpeed = {
    prefillTokensPerMs: 25,
    stepMs: 3.55,
    stepMsPerRequest: 0.0462,
    chunkTokens: 2_048,
    firstEventMs: 45,
    roundTripMs: 10,
};

/** Unread tokens up to which the time to the first event is dominated by the fixed overhead of a request. */
const maxShortPromptTokens = 600;
/** Unread tokens from which the time to the first event is dominated by the prefill. */
const minLongPromptTokens = 2_500;
/** Samples needed of each kind (short and long prompts) before they are used, and samples kept of each kind. */
const minSamples = 4;
const maxSamples = 40;
/** Quantile of the time per token of long prompts: the median, as queueing makes samples slower and caching faster. */
const longPromptQuantile = 0.5;
/** Bounds of the estimated prefill rate, in tokens per millisecond. */
const minTokensPerMs = 5;
const maxTokensPerMs = 2_000;

interface LongPromptSample {
    unreadTokens: number;
    firstByteMs: number;
}

/**
 * Estimates the prefill rate of a service's engines from requests that had no unread prompt ahead of them. The time
 * per token is the first-byte time of a long prompt, less that of a short prompt, divided by the long prompt's tokens.
 */
export class EngineSpeedEstimate {
    private shortPromptMs: number[] = [];
    private longPrompts: LongPromptSample[] = [];
    private measuredSpeed: EngineSpeed | undefined;
    private fallbackSpeed: EngineSpeed;

    constructor(prefillTokensPerMs = engineSpeedDefaults.prefillTokensPerMs) {
        this.fallbackSpeed = { ...engineSpeedDefaults, prefillTokensPerMs };
    }

    /** Whether the speed is based on enough samples of this process. */
    get isMeasured(): boolean {
        return this.measuredSpeed !== undefined;
    }

    get speed(): EngineSpeed {
        return this.measuredSpeed ?? this.fallbackSpeed;
    }

    /** Returns a copy whose changes have no effect on this estimate. */
    snapshot(): EngineSpeedEstimate {
        const copy = new EngineSpeedEstimate();
        copy.shortPromptMs = this.shortPromptMs;
        copy.longPrompts = this.longPrompts;
        copy.measuredSpeed = this.measuredSpeed;
        copy.fallbackSpeed = this.fallbackSpeed;
        return copy;
    }

    /** Sets the prefill rate measured by other processes, which is used until this process has measured one. */
    setFallbackRate(prefillTokensPerMs: number): void {
        if (prefillTokensPerMs !== this.fallbackSpeed.prefillTokensPerMs) {
            this.fallbackSpeed = { ...engineSpeedDefaults, prefillTokensPerMs };
        }
    }

    /** Records the time to the first event of a request that had no unread prompt ahead of it on the engine. */
    observe(unreadTokens: number, firstByteMs: number): void {
        if (unreadTokens <= maxShortPromptTokens) {
            this.shortPromptMs = [...this.shortPromptMs, firstByteMs].slice(-maxSamples);
        }
        else if (unreadTokens >= minLongPromptTokens) {
            this.longPrompts = [...this.longPrompts, { unreadTokens, firstByteMs }].slice(-maxSamples);
        }
        if (this.longPrompts.length >= minSamples) {
            const { stepMs, chunkTokens, firstEventMs, roundTripMs } = engineSpeedDefaults;
            const baseMs = this.shortPromptMs.length >= minSamples
                ? quantile(this.shortPromptMs, 0.5)
                : firstEventMs + roundTripMs;
            const msPerToken = quantile(
                this.longPrompts.map(sample => (sample.firstByteMs - baseMs) / sample.unreadTokens),
                longPromptQuantile,
            );
            const tokensPerMs = 1 / Math.max(1 / maxTokensPerMs, msPerToken - stepMs / chunkTokens);
            this.measuredSpeed = { ...engineSpeedDefaults, prefillTokensPerMs: Math.max(minTokensPerMs, tokensPerMs) };
        }
    }
}

function quantile(values: readonly number[], fraction: number): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length * fraction)] ?? 0;
}
