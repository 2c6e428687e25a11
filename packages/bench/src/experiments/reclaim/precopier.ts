import type { PrecopyPolicy } from "@lentilramp/streams";
import type { ReclaimSimulation } from "./reclaim-simulation.ts";
import type { SimulatedEngine } from "./simulated-engine.ts";
import type { SimulatedStream } from "./simulated-stream.ts";

const idleMs = 100;

/** Copies KV caches of one engine to engines in other failure domains, one at a time, as long as the policy wants. */
export class Precopier {
    private isBusy = false;

    constructor(
        private readonly simulation: ReclaimSimulation,
        private readonly engine: SimulatedEngine,
        private readonly policy: PrecopyPolicy,
    ) {}

    wake(): void {
        if (this.isBusy || !this.engine.isAvailable) {
            return;
        }
        const { clock, streams } = this.simulation;
        const held = [...this.engine.attempts.values()].map(({ streamId }) => streams.get(streamId) as SimulatedStream);
        const free = this.freeTarget();
        const chosen = this.policy.choose(
            held.map(stream => {
                const target = this.targetOf(stream, free);
                return this.simulation.describe(stream, target, target !== undefined);
            }),
            clock.now(),
        );
        const stream = chosen === undefined ? undefined : streams.get(chosen.id);
        const target = stream === undefined ? undefined : this.targetOf(stream, free);
        if (stream !== undefined && target !== undefined) {
            this.copy(stream, target);
        }
        else if (clock.now() < this.simulation.settings.arrivalsEndAt) {
            // Other streams may be worth a copy later, as long as arrivals go on.
            this.isBusy = true;
            clock.schedule(clock.now() + idleMs, () => this.release());
        }
    }

    private release(): void {
        this.isBusy = false;
        this.wake();
    }

    /** The engine that has a part of the stream, or else the free one; undefined when the former is busy. */
    private targetOf(stream: SimulatedStream, free: SimulatedEngine | undefined): SimulatedEngine | undefined {
        const holder = stream.copy?.engine;
        if (holder?.isAvailable === true) {
            return this.isFree(holder) ? holder : undefined;
        }
        return free;
    }

    private isFree(engine: SimulatedEngine): boolean {
        return Math.max(engine.importBusyUntil, engine.copyBusyUntil) <= this.simulation.clock.now();
    }

    private freeTarget(): SimulatedEngine | undefined {
        return this.simulation.leastLoaded(engine => engine.domain !== this.engine.domain && this.isFree(engine));
    }

    /** The stream goes on meanwhile; what it produces is not part of the copy. */
    private copy(stream: SimulatedStream, target: SimulatedEngine): void {
        const { clock, settings } = this.simulation;
        const from = this.simulation.tokensHeldBy(target, stream);
        const tokenMs = settings.kvBytesPerToken / (settings.exportBytesPerSecond * settings.precopyShare) * 1_000;
        const endAt = clock.now() + Math.max(0, stream.heldTokens - from) * tokenMs;
        stream.copy = { engine: target, tokens: from };
        target.copyBusyUntil = endAt;
        this.isBusy = true;
        this.continueCopy(stream, stream.copy, { startedAt: clock.now(), endAt, from, tokenMs });
    }

    /** The copy grows until it is complete, its stream has moved or ended, or the link gets more urgent work. */
    private continueCopy(
        stream: SimulatedStream,
        copy: { engine: SimulatedEngine; tokens: number; },
        transfer: { startedAt: number; endAt: number; from: number; tokenMs: number; },
    ): void {
        const { clock, counts, settings } = this.simulation;
        const isInterrupted = stream.copy !== copy || !this.engine.isAvailable || !copy.engine.isAvailable
            || copy.engine.importStartedAt > transfer.startedAt;
        if (isInterrupted || clock.now() >= transfer.endAt) {
            copy.engine.copyBusyUntil = Math.min(copy.engine.copyBusyUntil, clock.now());
            this.release();
            return;
        }
        const nextAt = Math.min(transfer.endAt, clock.now() + settings.stepMs);
        clock.schedule(nextAt, () => {
            const tokens = transfer.from + Math.floor((nextAt - transfer.startedAt) / transfer.tokenMs + 1e-6);
            counts.copiedMegabytes += (tokens - copy.tokens) * settings.kvBytesPerToken / 1e6;
            if (this.engine.isAvailable) {
                copy.tokens = tokens;
            }
            this.continueCopy(stream, copy, transfer);
        });
    }
}
