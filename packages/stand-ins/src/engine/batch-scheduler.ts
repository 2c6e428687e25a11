/** A request as the batch scheduler sees it. */
export interface Sequence {
    readonly id: string;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Tokens that must be prefilled before the next token can be decoded. */
    prefillLeft: number;
    /** Offset of the next token. */
    nextOffset: number;
    readonly endOffset: number;
    /** A paused sequence keeps its place and produces nothing. */
    paused: boolean;
}

export interface StepPlan {
    durationMs: number;
    /** Sequences that have a token when the step ends. */
    decoded: readonly Sequence[];
    /** Sequences whose prefill ends with the step. */
    prefilled: readonly Sequence[];
}

export interface BatchLimits {
    stepMs: number;
    prefillTokensPerSecond: number;
    stepTokenBudget: number;
    maxBatch: number;
}

/**
 * Continuous batching: each step decodes one token for each running sequence and uses the rest of the token budget
 * for prefill. Sequences are taken by priority, then by arrival.
 */
export class BatchScheduler {
    private sequences: Sequence[] = [];

    constructor(private readonly limits: BatchLimits) {}

    get size(): number {
        return this.sequences.length;
    }

    get running(): number {
        return Math.min(this.limits.maxBatch, this.sequences.length);
    }

    get queuedPrefillTokens(): number {
        return this.sequences.reduce((sum, sequence) => sum + sequence.prefillLeft, 0);
    }

    add(sequence: Sequence): void {
        const later = this.sequences.findIndex(other => other.priority > sequence.priority);
        this.sequences.splice(later === -1 ? this.sequences.length : later, 0, sequence);
    }

    remove(id: string): void {
        this.sequences = this.sequences.filter(sequence => sequence.id !== id);
    }

    has(id: string): boolean {
        return this.sequences.some(sequence => sequence.id === id);
    }

    /** Plans the next step and accounts for its prefill; returns undefined when there is nothing to do. */
    planStep(): StepPlan | undefined {
        const batch = this.sequences.filter(sequence => !sequence.paused).slice(0, this.limits.maxBatch);
        if (batch.length === 0) {
            return undefined;
        }
        let budget = this.limits.stepTokenBudget;
        const decoded = batch.filter(sequence => sequence.prefillLeft === 0).slice(0, budget);
        budget -= decoded.length;
        const prefilled: Sequence[] = [];
        let prefillTokens = 0;
        for (const sequence of batch) {
            const tokens = Math.min(budget, sequence.prefillLeft);
            if (tokens > 0) {
                budget -= tokens;
                prefillTokens += tokens;
                sequence.prefillLeft -= tokens;
                if (sequence.prefillLeft === 0) {
                    prefilled.push(sequence);
                }
            }
        }
        return {
            durationMs: this.limits.stepMs + prefillTokens / this.limits.prefillTokensPerSecond * 1_000,
            decoded: [...decoded, ...prefilled],
            prefilled,
        };
    }
}
