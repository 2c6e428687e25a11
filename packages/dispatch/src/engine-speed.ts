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
    linkMs: number;
}

/** What the users' sheets give for most of their engines; assumed until the own requests have shown otherwise. */
export const engineSpeedDefaults: EngineSpeed = {
    prefillTokensPerMs: 157,
    stepMs: 3.55,
    stepMsPerRequest: 0.0462,
    chunkTokens: 2_048,
    firstEventMs: 45,
    linkMs: 10,
};

/** Unread tokens from which a prompt tells how fast an engine reads. */
const minTellingTokens = 1_500;
/** Samples from which the estimate is used, and those that are kept. */
const minSamples = 8;
const keptSamples = 60;
/** Part of the samples that were faster than the estimate: those that waited for others are slower. */
const undisturbedPart = 0.25;
/** Bounds of the estimate, in tokens for each millisecond. */
const minTokensPerMs = 5;
const maxTokensPerMs = 2_000;

/** Learns how fast the engines of a service read prompts, from the requests that found no prompt before them. */
export class EngineSpeedEstimate {
    private samples: number[] = [];
    private rate = engineSpeedDefaults.prefillTokensPerMs;

    /** Whether the speed rests on enough samples. */
    get measured(): boolean {
        return this.samples.length >= minSamples;
    }

    get speed(): EngineSpeed {
        return { ...engineSpeedDefaults, prefillTokensPerMs: this.rate };
    }

    /** Takes the time to the first event of a request that had no unread prompt before it. */
    observe(unreadTokens: number, firstByteMs: number): void {
        if (unreadTokens < minTellingTokens) {
            return;
        }
        const { firstEventMs, linkMs } = engineSpeedDefaults;
        const readingMs = Math.max(1, firstByteMs - firstEventMs - linkMs);
        this.samples = [...this.samples, readingMs / unreadTokens].slice(-keptSamples);
        if (this.measured) {
            const sorted = [...this.samples].sort((a, b) => a - b);
            const perToken = sorted[Math.floor(sorted.length * undisturbedPart)] ?? 0;
            this.rate = Math.min(maxTokensPerMs, Math.max(minTokensPerMs, 1 / perToken));
        }
    }
}
