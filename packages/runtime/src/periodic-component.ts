import type { Clock, Timer } from "./clock.ts";
import { Component } from "./lifecycle.ts";

/** Component that repeats a task. Each run starts one interval after the previous run has finished. */
export abstract class PeriodicComponent extends Component {
    private timer: Timer | undefined;
    /** Instant of the next run; undefined during a run. */
    private nextRunAt: number | undefined;
    private started = false;
    private currentRun: Promise<void> = Promise.resolve();
    /** Time by which the current or last run started after its planned instant, in milliseconds. */
    protected runDelayMs = 0;

    constructor(protected readonly clock: Clock, private readonly intervalMs: number) {
        super();
    }

    /** Runs the task once. A rejection is passed to `onFailure`. */
    protected abstract runOnce(): Promise<void>;

    protected abstract onFailure(err: unknown): void;

    /** Returns the delay before the next run, in milliseconds. */
    protected nextDelayMs(): number {
        return this.intervalMs;
    }

    override async start(): Promise<void> {
        this.started = true;
        this.schedule();
    }

    /** Cancels further runs and waits for the run in progress. */
    override async close(): Promise<void> {
        this.started = false;
        this.timer?.cancel();
        await this.currentRun;
    }

    /** Brings the next run forward to the instant `timeMs`. Has no effect during a run or on an earlier one. */
    protected bringForward(timeMs: number): void {
        if (this.nextRunAt !== undefined && timeMs < this.nextRunAt) {
            this.timer?.cancel();
            this.scheduleAt(timeMs);
        }
    }

    private schedule(): void {
        this.scheduleAt(this.clock.now() + this.nextDelayMs());
    }

    private scheduleAt(timeMs: number): void {
        if (this.started) {
            this.nextRunAt = timeMs;
            this.timer = this.clock.schedule(timeMs, () => {
                this.nextRunAt = undefined;
                this.runDelayMs = this.clock.now() - timeMs;
                this.currentRun = this.runOnce().catch((err: unknown) => this.onFailure(err)).then(() =>
                    this.schedule()
                );
            });
        }
    }
}
