import type { ExportBandwidth, ReclaimedStream, ReclaimPolicy } from "@lentilramp/streams";
import { decideExportFallback, defaultBudgetedReclaimOptions } from "@lentilramp/streams";
import type { ReclaimSimulation } from "./reclaim-simulation.ts";
import type { SimulatedAttempt, SimulatedEngine } from "./simulated-engine.ts";
import type { SimulatedStream } from "./simulated-stream.ts";

/** Carries out the plan for one engine between notice and reclaim; plans again after each export. */
export class Evacuation {
    private exporting: SimulatedStream | undefined;
    private readonly refusedBy = new Set<string>();

    constructor(
        private readonly simulation: ReclaimSimulation,
        private readonly engine: SimulatedEngine,
        private readonly policy: ReclaimPolicy,
        private readonly reclaimAt: number,
    ) {}

    start(): void {
        this.next();
        // An export that takes longer than planned must not delay the recomputation of the other streams.
        this.simulation.clock.schedule(this.usableUntil, () => this.next());
    }

    private get usableUntil(): number {
        return this.reclaimAt - defaultBudgetedReclaimOptions.marginMs;
    }

    private get now(): number {
        return this.simulation.clock.now();
    }

    private next(): void {
        if (!this.engine.isAlive) {
            return;
        }
        const streams = [...this.engine.attempts.values()].map(({ streamId }) => this.find(streamId))
            .filter(stream => stream !== this.exporting);
        const described = streams.map(stream => this.describe(stream));
        const plan = this.policy.plan(described, { reclaimAt: this.reclaimAt }, this.bandwidth, this.now);
        const recomputed = plan.steps.filter(step => step.action === "recompute");
        for (const step of recomputed.filter(({ startAt }) => startAt <= this.now)) {
            const stream = this.find(step.streamId);
            this.simulation.detach(stream);
            this.simulation.resume(stream, stream.copy?.tokens, stream.copy?.engine);
        }
        const exports = plan.steps.filter(step => step.action === "export");
        const first = exports.find(step => this.target(this.find(step.streamId)) !== undefined) ?? exports[0];
        if (first !== undefined && this.exporting === undefined) {
            this.export(this.find(first.streamId), first.recomputedTokens > 0 ? first.endAt : undefined);
        }
    }

    private get bandwidth(): ExportBandwidth {
        return { bytesPerSecond: this.simulation.settings.exportBytesPerSecond, targetsKeepPartial: true };
    }

    private find(id: string): SimulatedStream {
        return this.simulation.streams.get(id) as SimulatedStream;
    }

    private describe(stream: SimulatedStream): ReclaimedStream {
        const target = this.holder(stream)
            ?? this.simulation.leastLoaded(engine => !this.refusedBy.has(engine.id));
        return this.simulation.describe(stream, target, target !== undefined);
    }

    /** The engine with a copy of the stream, unless it goes away or refused an import. */
    private holder(stream: SimulatedStream): SimulatedEngine | undefined {
        const engine = stream.copy?.engine;
        return engine?.isAvailable === true && !this.refusedBy.has(engine.id) ? engine : undefined;
    }

    /** The engine with a copy, or else the least loaded one, when it receives no other stream now. */
    private target(stream: SimulatedStream): SimulatedEngine | undefined {
        const holder = this.holder(stream);
        if (holder !== undefined) {
            return holder.importBusyUntil <= this.now ? holder : undefined;
        }
        return this.simulation.leastLoaded(engine =>
            engine.importBusyUntil <= this.now && !this.refusedBy.has(engine.id)
        );
    }

    /** Exports a stream to an engine; with `partUntil` the export is ended at that instant. */
    private export(stream: SimulatedStream, partUntil?: number): void {
        const target = this.target(stream);
        if (target === undefined || stream.attempt === undefined) {
            const retryAt = this.now + this.simulation.settings.stepMs;
            this.simulation.clock.schedule(retryAt, () => this.next());
            return;
        }
        const { clock, counts, faults, settings } = this.simulation;
        counts.exports++;
        this.exporting = stream;
        this.engine.pause(stream.attempt, true);
        if (faults.next() < settings.importRefusalRate) {
            counts.exportsRefused++;
            clock.schedule(this.now + 2 * settings.linkDelayMs, () => this.fail(stream, target, "refused", 0));
            return;
        }
        this.transfer(stream, target, this.simulation.tokensHeldBy(target, stream), partUntil);
    }

    /** Sends the tokens from `fromToken` on; the stream stays paused until the transfer ends. */
    private transfer(stream: SimulatedStream, target: SimulatedEngine, fromToken: number, partUntil?: number): void {
        const { clock, counts, faults, settings } = this.simulation;
        const attempt = stream.attempt as SimulatedAttempt;
        const held = stream.heldTokens;
        const tokenMs = settings.kvBytesPerToken / settings.exportBytesPerSecond * 1_000;
        const wholeAt = this.now + Math.max(0, held - fromToken) * tokenMs;
        const startedAt = this.now;
        const plannedAt = Math.min(wholeAt, partUntil ?? wholeAt);
        const cutAt = faults.next() < settings.exportCutRate
            ? startedAt + (wholeAt - startedAt) * faults.next()
            : Infinity;
        const isCut = cutAt < plannedAt;
        const endAt = Math.min(cutAt, plannedAt);
        target.importBusyUntil = endAt;
        target.importStartedAt = startedAt;
        clock.schedule(endAt, () => {
            if (!this.engine.isAlive || stream.attempt !== attempt) {
                return;
            }
            const sent = endAt === wholeAt ? held : fromToken + Math.floor((endAt - startedAt) / tokenMs);
            if (isCut) {
                counts.exportsCut++;
                this.fail(stream, target, "cut", sent);
                return;
            }
            counts.exportsInPart += sent < held ? 1 : 0;
            this.moveTo(stream, sent, target);
        });
    }

    private moveTo(stream: SimulatedStream, importedTokens: number, target?: SimulatedEngine): void {
        const { clock, settings } = this.simulation;
        this.exporting = undefined;
        this.simulation.detach(stream);
        clock.schedule(
            this.now + settings.linkDelayMs,
            () => this.simulation.resume(stream, importedTokens, target),
        );
        this.next();
    }

    private fail(
        stream: SimulatedStream,
        target: SimulatedEngine,
        kind: "cut" | "refused",
        keptTokens: number,
    ): void {
        if (!this.engine.isAlive || stream.attempt === undefined) {
            return;
        }
        if (kind === "refused") {
            this.refusedBy.add(target.id);
            this.engine.pause(stream.attempt, false);
        }
        const other = this.target(stream);
        stream.copy = kind === "cut" ? { engine: target, tokens: keptTokens } : undefined;
        const fallback = decideExportFallback(
            this.describe(stream),
            { kind, target: target.id, targetCachedTokens: keptTokens, failureCount: ++stream.exportFailures },
            other === undefined ? [] : [other.id],
            this.usableUntil,
            this.bandwidth,
            this.now,
        );
        if (fallback.kind === "recompute") {
            this.moveTo(stream, fallback.importedTokens, fallback.target === undefined ? undefined : target);
        }
        else if (kind === "cut") {
            this.transfer(stream, target, fallback.fromToken);
        }
        else {
            this.export(stream);
        }
    }
}
