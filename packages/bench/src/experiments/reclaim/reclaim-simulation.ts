import type { RandomSource } from "@lentilramp/runtime";
import { ManualClock } from "@lentilramp/runtime";
import type { PrecopyPolicy, ReclaimedStream, ReclaimPolicy, ResumePolicy } from "@lentilramp/streams";
import { Evacuation } from "./evacuation.ts";
import { Precopier } from "./precopier.ts";
import type { ReclaimSettings } from "./reclaim-settings.ts";
import { cachedPrefixTokens } from "./reclaim-settings.ts";
import type { ProducedToken, SimulatedAttempt } from "./simulated-engine.ts";
import { SimulatedEngine } from "./simulated-engine.ts";
import { SimulatedStream, tokenText } from "./simulated-stream.ts";
import type { Arrival } from "./workload.ts";

/** Policies of one variant; without a reclaim policy the notice only stops new work on the engine. */
export interface ReclaimVariant {
    name: string;
    reclaim: ReclaimPolicy | undefined;
    resume: ResumePolicy;
    /** Learns the length of an answer that has ended. */
    onAnswer: (length: number, bound: number) => void;
    /** Copies KV caches before a notice; without it no copies are made. */
    precopy?: PrecopyPolicy;
}

export interface ReclaimCounts {
    accepted: number;
    refused: number;
    completed: number;
    givenUp: number;
    reclaimedStreams: number;
    /** Answer tokens released from the first notice until the end of the arrivals. */
    generatedTokens: number;
    /** Tokens prefilled or decoded again for a stream, over the whole run. */
    recomputedTokens: number;
    exports: number;
    exportsInPart: number;
    exportsCut: number;
    exportsRefused: number;
    lostAtReclaim: number;
    copiedMegabytes: number;
}

const movedPriority = 0;
const newPriority = 1;

/** Three failure domains of engines, one entry, and two waves of reclaims on an injected clock. */
export class ReclaimSimulation {
    readonly counts: ReclaimCounts = {
        accepted: 0,
        refused: 0,
        completed: 0,
        givenUp: 0,
        reclaimedStreams: 0,
        generatedTokens: 0,
        recomputedTokens: 0,
        exports: 0,
        exportsInPart: 0,
        exportsCut: 0,
        exportsRefused: 0,
        lostAtReclaim: 0,
        copiedMegabytes: 0,
    };
    loadAtFirstNotice = 0;
    readonly streams = new Map<string, SimulatedStream>();
    readonly clock = new ManualClock(0);
    readonly engines: SimulatedEngine[] = [];
    private readonly precopiers = new Map<SimulatedEngine, Precopier>();

    constructor(
        readonly settings: ReclaimSettings,
        readonly variant: ReclaimVariant,
        private readonly workload: readonly Arrival[],
        readonly faults: RandomSource,
    ) {
        for (let domain = 0; domain < 3; domain++) {
            this.addEngines(domain, settings.enginesPerDomain);
        }
    }

    run(): void {
        const { settings, clock } = this;
        this.scheduleArrival(0);
        clock.schedule(settings.firstNoticeAt, () => {
            const busy = this.engines.reduce((sum, engine) => sum + engine.size, 0);
            this.loadAtFirstNotice = busy / (this.engines.length * settings.slots);
            this.reclaim(this.engines.filter(engine => engine.domain === 0), 2);
        });
        clock.schedule(settings.secondNoticeAt, () => {
            const second = this.engines.filter(engine => engine.domain === 1 && engine.isAvailable);
            this.reclaim(second.slice(0, Math.ceil(second.length * settings.secondWaveShare)), 2);
        });
        // The last arrival has reached its deadline by then.
        clock.advanceTo(settings.arrivalsEndAt + settings.streamDeadlineMs);
    }

    /** The available engine with the fewest streams among those that `accepts` admits. */
    leastLoaded(accepts: (engine: SimulatedEngine) => boolean = () => true): SimulatedEngine | undefined {
        let best: SimulatedEngine | undefined;
        for (const engine of this.engines) {
            if (engine.isAvailable && accepts(engine) && (best === undefined || engine.size < best.size)) {
                best = engine;
            }
        }
        return best;
    }

    /** Leading tokens of a stream that an engine holds in its prefix cache or as a copy. */
    tokensHeldBy(engine: SimulatedEngine, stream: SimulatedStream): number {
        const cached = engine.holdsPrefix(stream.arrival.workspace) ? cachedPrefixTokens : 0;
        return stream.copy?.engine === engine ? Math.max(cached, stream.copy.tokens) : cached;
    }

    /** Describes a stream to the policies, with `target` as the engine that would take it over. */
    describe(stream: SimulatedStream, target: SimulatedEngine | undefined, canExport: boolean): ReclaimedStream {
        const { arrival, attempt } = stream;
        const produced = attempt?.sequence.nextOffset ?? 0;
        return {
            id: arrival.id,
            promptTokens: arrival.promptTokens,
            producedTokens: produced,
            uncomputedTokens: attempt?.sequence.prefillLeft ?? 0,
            remainingTokens: arrival.maxTokens - produced,
            tokenIntervalMs: this.settings.stepMs,
            kvBytesPerToken: this.settings.kvBytesPerToken,
            targetCachedTokens: target === undefined ? 0 : this.tokensHeldBy(target, stream),
            deadline: stream.deadline,
            canExport,
        };
    }

    /** Takes the stream off its engine without an end. */
    detach(stream: SimulatedStream): void {
        stream.noteComputed();
        if (stream.attempt !== undefined) {
            stream.engine?.remove(stream.attempt);
        }
        stream.attempt = undefined;
        stream.engine = undefined;
    }

    /** Continues a stream on `target`, or on the least loaded engine, as the resume policy decides. */
    resume(stream: SimulatedStream, importedTokens = 0, holder?: SimulatedEngine): void {
        // An imported KV cache is lost when its engine gets notice before the stream has come to it.
        if (holder !== undefined && !holder.isAvailable) {
            this.resume(stream);
            return;
        }
        const target = holder ?? this.leastLoaded();
        if (stream.assembler.complete || stream.attempt !== undefined) {
            return;
        }
        const now = this.clock.now();
        if (target === undefined) {
            this.clock.schedule(now + this.settings.stepMs, () => this.resume(stream, importedTokens));
            return;
        }
        const cached = target.holdsPrefix(stream.arrival.workspace) ? cachedPrefixTokens : 0;
        const decision = this.variant.resume.decide({
            promptTokens: stream.arrival.promptTokens,
            receivedTokens: stream.assembler.nextOffset,
            cachedPromptTokens: cached,
            importedTokens,
            attempts: stream.assembler.attempt,
            deadline: stream.deadline,
        }, now);
        if (decision.kind === "give-up") {
            this.counts.givenUp++;
            return;
        }
        const covered = decision.useImportedKv ? importedTokens : cached;
        const needed = stream.arrival.promptTokens + decision.offset;
        this.counts.recomputedTokens += Math.max(0, Math.min(needed, stream.computedTokens) - covered);
        this.startAttempt(stream, target, decision.offset, Math.max(1, needed - covered), movedPriority);
    }

    private startAttempt(
        stream: SimulatedStream,
        engine: SimulatedEngine,
        offset: number,
        prefill: number,
        priority: number,
    ): void {
        const number = stream.assembler.startAttempt();
        const attempt: SimulatedAttempt = {
            streamId: stream.arrival.id,
            number,
            workspace: stream.arrival.workspace,
            promptTokens: stream.arrival.promptTokens,
            sequence: {
                id: `${stream.arrival.id}/${number}`,
                priority,
                prefillLeft: prefill,
                nextOffset: offset,
                endOffset: stream.arrival.actualTokens,
                paused: false,
            },
        };
        stream.attempt = attempt;
        stream.engine = engine;
        stream.copy = undefined;
        engine.add(attempt);
    }

    private addEngines(domain: number, count: number): void {
        for (let i = 0; i < count; i++) {
            const id = `e${this.engines.length}`;
            const onTokens = (tokens: readonly ProducedToken[]) => this.deliver(tokens);
            this.engines.push(new SimulatedEngine(id, domain, this.settings, this.clock, onTokens));
        }
    }

    private scheduleArrival(index: number): void {
        const arrival = this.workload[index];
        if (arrival !== undefined) {
            this.clock.schedule(arrival.at, () => {
                this.admit(arrival);
                this.scheduleArrival(index + 1);
            });
        }
    }

    /** A request is accepted when an engine has a free slot, so that accepted streams do not wait for long. */
    private admit(arrival: Arrival): void {
        const engine = this.leastLoaded(candidate => candidate.size < this.settings.slots);
        if (engine === undefined) {
            this.counts.refused++;
            return;
        }
        this.counts.accepted++;
        const stream = new SimulatedStream(arrival, this.settings.streamDeadlineMs);
        this.streams.set(arrival.id, stream);
        const cached = engine.holdsPrefix(arrival.workspace) ? cachedPrefixTokens : 0;
        this.startAttempt(stream, engine, 0, arrival.promptTokens - cached, newPriority);
    }

    /** Gives notice to engines and starts their replacements in the failure domain `replacementDomain`. */
    private reclaim(engines: readonly SimulatedEngine[], replacementDomain: number): void {
        const now = this.clock.now();
        const reclaimAt = now + this.settings.noticeMs;
        for (const engine of engines) {
            engine.reclaimAt = reclaimAt;
        }
        this.variant.precopy?.onNotice(now);
        for (const engine of engines) {
            for (const { streamId } of engine.attempts.values()) {
                this.counts.reclaimedStreams++;
                (this.streams.get(streamId) as SimulatedStream).wasReclaimed = true;
            }
            if (this.variant.reclaim !== undefined) {
                new Evacuation(this, engine, this.variant.reclaim, reclaimAt).start();
            }
            this.clock.schedule(reclaimAt, () => this.lose(engine));
        }
        if (this.variant.precopy !== undefined) {
            for (const engine of this.engines.filter(candidate => candidate.isAvailable)) {
                this.precopierOf(engine, this.variant.precopy).wake();
            }
        }
        this.clock.schedule(
            now + this.settings.replacementMs,
            () => this.addEngines(replacementDomain, engines.length),
        );
    }

    private precopierOf(engine: SimulatedEngine, policy: PrecopyPolicy): Precopier {
        const precopier = this.precopiers.get(engine) ?? new Precopier(this, engine, policy);
        this.precopiers.set(engine, precopier);
        return precopier;
    }

    private lose(engine: SimulatedEngine): void {
        const lost = engine.die().map(attempt => this.streams.get(attempt.streamId) as SimulatedStream);
        this.counts.lostAtReclaim += lost.length;
        for (const stream of lost) {
            this.detach(stream);
            const resumeAt = this.clock.now() + this.settings.linkDelayMs;
            this.clock.schedule(resumeAt, () => this.resume(stream, stream.copy?.tokens, stream.copy?.engine));
        }
    }

    /** Tokens reach the entry after the link delay, also when their attempt has been given up meanwhile. */
    private deliver(tokens: readonly ProducedToken[]): void {
        for (const { attempt, offset } of tokens) {
            const stream = this.streams.get(attempt.streamId) as SimulatedStream;
            // An attempt that starts again from zero decodes tokens that were computed before.
            if (attempt.promptTokens + offset < stream.computedTokens) {
                this.counts.recomputedTokens++;
            }
        }
        this.clock.schedule(this.clock.now() + this.settings.linkDelayMs, () => {
            for (const token of tokens) {
                this.receive(token);
            }
        });
    }

    private receive({ attempt, offset, last }: ProducedToken): void {
        const now = this.clock.now();
        const stream = this.streams.get(attempt.streamId) as SimulatedStream;
        const result = stream.assembler.accept(attempt.number, offset, tokenText(offset));
        if (result.kind === "released") {
            stream.noteToken(now);
            if (now >= this.settings.firstNoticeAt && now < this.settings.arrivalsEndAt) {
                this.counts.generatedTokens++;
            }
        }
        if (last && stream.assembler.finish(attempt.number)) {
            stream.completedAt = now;
            stream.attempt = undefined;
            this.variant.onAnswer(stream.arrival.actualTokens, stream.arrival.maxTokens);
            if (stream.isWhole && now <= stream.deadline) {
                this.counts.completed++;
            }
        }
    }
}
