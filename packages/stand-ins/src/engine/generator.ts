import type { Clock, RandomSource, Timer } from "@lentilramp/runtime";
import { HttpError } from "../http/http-error.ts";
import { BatchScheduler } from "./batch-scheduler.ts";
import type { StepPlan } from "./batch-scheduler.ts";
import { CacheEventLog } from "./cache-event-log.ts";
import type { ChatBody } from "./chat-body.ts";
import { chatFingerprint, expectedTokens, promptBlocks, promptTokens, tokensPerBlock } from "./chat-body.ts";
import type { EngineOptions } from "./engine-options.ts";
import type { EngineRequest } from "./engine-request.ts";
import { LoadReporter } from "./load-reporter.ts";
import { PrefixCache } from "./prefix-cache.ts";

/** Tokens counted since the start. */
export interface GeneratorCounters {
    /** Requests started. */
    started: number;
    generated: number;
    /** Prompt tokens prefilled, without those found in the prefix cache or in an imported KV cache. */
    prefilled: number;
    /** Tokens of a received prefix that were prefilled again when a stream was resumed. */
    recomputed: number;
}

export interface StartOptions {
    id: string;
    priority: number;
    offset: number;
    /** Tokens of prompt and answer covered by an imported KV cache. */
    importedTokens: number;
}

const finishedKept = 1_000;

/** Runs the steps of the engine on an injected clock; it does no I/O. */
export class Generator {
    readonly counters: GeneratorCounters = { started: 0, generated: 0, prefilled: 0, recomputed: 0 };
    readonly cache: PrefixCache;
    readonly cacheEvents: CacheEventLog;
    readonly load: LoadReporter;
    private readonly scheduler: BatchScheduler;
    private readonly requests = new Map<string, EngineRequest>();
    private timer: Timer | undefined;
    private stopped = false;
    private frozen = false;
    private overdueStep: StepPlan | undefined;
    /** Multiplies the duration of each step (fault). */
    slowdown = 1;

    constructor(private readonly options: EngineOptions, private readonly clock: Clock, random: RandomSource) {
        this.cache = new PrefixCache(options.cacheBlocks);
        this.cacheEvents = new CacheEventLog(options, random);
        this.load = new LoadReporter(options.loadReportIntervalMs, options.loadReportLagMs);
        this.scheduler = new BatchScheduler(options);
    }

    /** Starts a request; throws `overloaded` (503) or `duplicate-request` (409). */
    start(body: ChatBody, start: StartOptions): EngineRequest {
        if (this.scheduler.size >= this.options.maxRequests) {
            throw new HttpError(503, "overloaded", "too many requests", { retryAfterMs: 1_000 }, {
                "retry-after": "1",
            });
        }
        if (this.requests.get(start.id)?.state === "running") {
            throw new HttpError(409, "duplicate-request", `request ${start.id} is running`);
        }
        const blocks = promptBlocks(body);
        const prompt = promptTokens(body);
        const cached = this.cache.match(blocks) * tokensPerBlock;
        const covered = Math.max(cached, start.importedTokens);
        const promptLeft = Math.max(0, prompt - covered);
        const prefixLeft = Math.max(0, start.offset - Math.max(0, covered - prompt));
        this.counters.started++;
        this.counters.prefilled += promptLeft;
        this.counters.recomputed += prefixLeft;
        const tokens = expectedTokens(body);
        const request: EngineRequest = {
            id: start.id,
            body,
            fingerprint: chatFingerprint(body),
            tokens,
            promptTokens: prompt,
            blocks,
            sequence: {
                id: start.id,
                priority: start.priority,
                // The last token of the context is always processed, because it yields the next token.
                prefillLeft: Math.max(1, promptLeft + prefixLeft),
                nextOffset: start.offset,
                endOffset: tokens.length,
                paused: false,
            },
            state: "running",
            onToken: () => undefined,
            onCut: () => undefined,
        };
        this.requests.set(start.id, request);
        this.forgetFinished();
        if (start.offset >= tokens.length) {
            request.state = "done";
            return request;
        }
        this.scheduler.add(request.sequence);
        this.wake();
        return request;
    }

    find(id: string): EngineRequest | undefined {
        return this.requests.get(id);
    }

    running(): EngineRequest[] {
        return [...this.requests.values()].filter(request => request.state === "running");
    }

    cancel(id: string): void {
        const request = this.requests.get(id);
        if (request?.state === "running") {
            request.state = "cancelled";
            this.scheduler.remove(id);
            this.sampleLoad();
            request.onCut();
        }
    }

    pause(id: string, paused: boolean): void {
        const request = this.requests.get(id);
        if (request !== undefined) {
            request.sequence.paused = paused;
            this.wake();
        }
    }

    /** While frozen no step starts or ends; a step whose time passes meanwhile ends when the engine is thawed. */
    freeze(frozen: boolean): void {
        this.frozen = frozen;
        if (!frozen && this.overdueStep !== undefined) {
            this.finishStep(this.overdueStep);
            this.overdueStep = undefined;
        }
        this.wake();
    }

    stop(): void {
        this.stopped = true;
        this.timer?.cancel();
    }

    sampleLoad(): void {
        this.load.sample({
            at: this.clock.now(),
            running: this.scheduler.running,
            queued: this.scheduler.size - this.scheduler.running,
            queuedPrefillTokens: this.scheduler.queuedPrefillTokens,
        });
    }

    private wake(): void {
        if (this.timer !== undefined || this.overdueStep !== undefined || this.stopped || this.frozen) {
            return;
        }
        const plan = this.scheduler.planStep();
        this.sampleLoad();
        if (plan !== undefined) {
            this.timer = this.clock.schedule(this.clock.now() + plan.durationMs * this.slowdown, () => {
                this.timer = undefined;
                if (this.frozen) {
                    this.overdueStep = plan;
                    return;
                }
                this.finishStep(plan);
                this.wake();
            });
        }
    }

    private finishStep(plan: StepPlan): void {
        const now = this.clock.now();
        for (const sequence of plan.prefilled) {
            const request = this.requests.get(sequence.id);
            if (request?.state === "running") {
                const change = this.cache.store(request.blocks);
                this.cacheEvents.append("stored", change.stored, now);
                this.cacheEvents.append("evicted", change.evicted, now);
            }
        }
        for (const sequence of plan.decoded) {
            const request = this.requests.get(sequence.id);
            if (request?.state !== "running" || request.sequence !== sequence || sequence.paused) {
                continue;
            }
            const offset = sequence.nextOffset++;
            this.counters.generated++;
            const last = sequence.nextOffset >= sequence.endOffset;
            if (last) {
                request.state = "done";
                this.scheduler.remove(sequence.id);
            }
            request.onToken({ offset, text: request.tokens[offset] ?? "", last });
        }
    }

    private forgetFinished(): void {
        if (this.requests.size <= finishedKept) {
            return;
        }
        for (const [id, request] of this.requests) {
            if (request.state !== "running") {
                this.requests.delete(id);
                return;
            }
        }
    }
}
