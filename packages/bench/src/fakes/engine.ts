import type { LoadReport, Priority } from "@lentilramp/routing";
import { priorities } from "@lentilramp/routing";
import { BlockCache } from "./block-cache.ts";
import type { EventQueue } from "./event-queue.ts";

export interface EngineOptions {
    /** Time of a step without any token. */
    stepBaseMs: number;
    /** Time that each prompt token adds to a step. */
    promptTokenMs: number;
    /** Time that each running sequence adds to a step. */
    sequenceMs: number;
    /** Tokens computed in a step, decoded and prompt tokens together. */
    tokenBudget: number;
    maxSequences: number;
    blockTokens: number;
    cacheBlocks: number;
}

/** Assumed machine: about 11,000 prompt tokens/s while it decodes 40 sequences at 45 ms a token. */
export const engineDefaults: EngineOptions = {
    stepBaseMs: 8,
    promptTokenMs: 0.05,
    sequenceMs: 0.25,
    tokenBudget: 512,
    maxSequences: 96,
    blockTokens: 64,
    cacheBlocks: 1_000,
};

export interface EngineJob {
    promptTokens: number;
    prefix: readonly number[];
    outputTokens: number;
    priority: Priority;
    /** Called for each token with its offset, at the instant when the engine sends it. */
    onToken: (offset: number) => void;
    onEnd: () => void;
}

interface Sequence {
    job: EngineJob;
    remainingPrompt: number;
    produced: number;
    cancelled: boolean;
}

/** Fake of an engine with continuous batching, chunked prompts, priorities and a limited prefix cache. */
export class FakeEngine {
    readonly cache: BlockCache;
    /** Prompt tokens received, and those of them found in the cache. */
    promptTokens = 0;
    cachedTokens = 0;
    private readonly waiting: Record<Priority, Sequence[]> = { high: [], normal: [], low: [] };
    private running: Sequence[] = [];
    private stepping = false;
    private prefillTokensPerMs: number;

    constructor(private readonly clock: EventQueue, private readonly options: EngineOptions = engineDefaults) {
        this.cache = new BlockCache(options.cacheBlocks);
        this.prefillTokensPerMs = options.tokenBudget
            / (options.stepBaseMs + options.tokenBudget * options.promptTokenMs);
    }

    /** Accepts a job; the returned function cancels it. */
    submit(job: EngineJob): () => void {
        const sequence = { job, remainingPrompt: -1, produced: 0, cancelled: false };
        this.waiting[job.priority].push(sequence);
        this.wake();
        return () => sequence.cancelled = true;
    }

    report(): LoadReport {
        const waitingTokens = { high: 0, normal: 0, low: 0 };
        let requests = this.running.length;
        for (const priority of priorities) {
            requests += this.waiting[priority].length;
            for (const sequence of this.waiting[priority]) {
                waitingTokens[priority] += sequence.remainingPrompt < 0
                    ? sequence.job.promptTokens
                    : sequence.remainingPrompt;
            }
        }
        for (const sequence of this.running) {
            waitingTokens[sequence.job.priority] += sequence.remainingPrompt;
        }
        return {
            measuredAt: this.clock.now(),
            waitingTokens,
            requests,
            prefillTokensPerMs: this.prefillTokensPerMs,
        };
    }

    private wake(): void {
        if (!this.stepping) {
            this.stepping = true;
            this.clock.schedule(this.clock.now(), () => this.step());
        }
    }

    private admit(): void {
        for (const priority of priorities) {
            const queue = this.waiting[priority];
            while (queue.length > 0 && this.running.length < this.options.maxSequences) {
                const sequence = queue.shift() as Sequence;
                if (!sequence.cancelled) {
                    this.running.push(sequence);
                }
            }
        }
    }

    /** Looks the prompt up in the cache when its computation starts, as engines do. */
    private start(sequence: Sequence): void {
        const { job } = sequence;
        const cached = Math.min(this.cache.use(job.prefix) * this.options.blockTokens, job.promptTokens - 1);
        this.promptTokens += job.promptTokens;
        this.cachedTokens += cached;
        sequence.remainingPrompt = job.promptTokens - cached;
    }

    private step(): void {
        this.running = this.running.filter(sequence => !sequence.cancelled);
        this.admit();
        if (this.running.length === 0) {
            this.stepping = false;
            return;
        }
        const decoding = this.running.filter(sequence => sequence.remainingPrompt === 0);
        let budget = Math.max(0, this.options.tokenBudget - decoding.length);
        let promptTokens = 0;
        const producing = [...decoding];
        for (const priority of priorities) {
            for (const sequence of this.running) {
                if (budget > 0 && sequence.remainingPrompt !== 0 && sequence.job.priority === priority) {
                    if (sequence.remainingPrompt < 0) {
                        this.start(sequence);
                    }
                    const chunk = Math.min(budget, sequence.remainingPrompt);
                    sequence.remainingPrompt -= chunk;
                    budget -= chunk;
                    promptTokens += chunk;
                    if (sequence.remainingPrompt === 0) {
                        this.cache.insert(sequence.job.prefix);
                        producing.push(sequence);
                    }
                }
            }
        }
        const duration = this.options.stepBaseMs + promptTokens * this.options.promptTokenMs
            + this.running.length * this.options.sequenceMs;
        if (budget === 0) {
            this.prefillTokensPerMs += 0.1 * (promptTokens / duration - this.prefillTokensPerMs);
        }
        this.clock.schedule(this.clock.now() + duration, () => this.finishStep(producing));
    }

    private finishStep(producing: readonly Sequence[]): void {
        for (const sequence of producing) {
            if (sequence.cancelled) {
                continue;
            }
            sequence.job.onToken(sequence.produced++);
            if (sequence.produced >= sequence.job.outputTokens) {
                sequence.cancelled = true;
                sequence.job.onEnd();
            }
        }
        this.step();
    }
}
