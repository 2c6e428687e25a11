import type { Clock } from "@lentilramp/runtime";
import type { Sequence, StepPlan } from "@lentilramp/stand-ins";
import { BatchScheduler } from "@lentilramp/stand-ins";
import type { ReclaimSettings } from "./reclaim-settings.ts";

/** One attempt of a stream at an engine. */
export interface SimulatedAttempt {
    streamId: string;
    number: number;
    workspace: number;
    promptTokens: number;
    sequence: Sequence;
}

export interface ProducedToken {
    attempt: SimulatedAttempt;
    offset: number;
    last: boolean;
}

/** Engine with the step model of the stand-in, without sockets. */
export class SimulatedEngine {
    readonly attempts = new Map<string, SimulatedAttempt>();
    /** Instant of the reclaim, once notice was given. */
    reclaimAt: number | undefined;
    isAlive = true;
    /** Instant until which the engine imports. */
    importBusyUntil = 0;
    /** Start of the newest import of a stream of a reclaimed engine; it interrupts the import of a copy. */
    importStartedAt = -Infinity;
    copyBusyUntil = 0;
    private readonly cachedWorkspaces = new Set<number>();
    private readonly scheduler: BatchScheduler;
    private isStepping = false;

    constructor(
        readonly id: string,
        readonly domain: number,
        settings: ReclaimSettings,
        private readonly clock: Clock,
        private readonly onTokens: (tokens: readonly ProducedToken[]) => void,
    ) {
        this.scheduler = new BatchScheduler({ ...settings, maxBatch: settings.slots });
    }

    get isAvailable(): boolean {
        return this.isAlive && this.reclaimAt === undefined;
    }

    get size(): number {
        return this.scheduler.size;
    }

    holdsPrefix(workspace: number): boolean {
        return this.cachedWorkspaces.has(workspace);
    }

    add(attempt: SimulatedAttempt): void {
        this.attempts.set(attempt.sequence.id, attempt);
        this.scheduler.add(attempt.sequence);
        this.wake();
    }

    remove(attempt: SimulatedAttempt): void {
        this.attempts.delete(attempt.sequence.id);
        this.scheduler.remove(attempt.sequence.id);
    }

    pause(attempt: SimulatedAttempt, paused: boolean): void {
        attempt.sequence.paused = paused;
        this.wake();
    }

    /** The engine goes away; returns the attempts that are lost. */
    die(): SimulatedAttempt[] {
        this.isAlive = false;
        const lost = [...this.attempts.values()];
        this.attempts.clear();
        return lost;
    }

    private wake(): void {
        if (this.isStepping || !this.isAlive) {
            return;
        }
        const plan = this.scheduler.planStep();
        if (plan !== undefined) {
            this.isStepping = true;
            this.clock.schedule(this.clock.now() + plan.durationMs, () => {
                this.isStepping = false;
                this.finishStep(plan);
                this.wake();
            });
        }
    }

    private finishStep(plan: StepPlan): void {
        const tokens: ProducedToken[] = [];
        for (const sequence of plan.decoded) {
            const attempt = this.attempts.get(sequence.id);
            if (attempt === undefined || sequence.paused) {
                continue;
            }
            this.cachedWorkspaces.add(attempt.workspace);
            const offset = sequence.nextOffset++;
            const last = sequence.nextOffset >= sequence.endOffset;
            if (last) {
                this.remove(attempt);
            }
            tokens.push({ attempt, offset, last });
        }
        if (tokens.length > 0) {
            this.onTokens(tokens);
        }
    }
}
