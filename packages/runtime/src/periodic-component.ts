import type { Clock, Timer } from "./clock.ts";
import { Component } from "./lifecycle.ts";

/** A component that repeats one piece of work. The next run starts an interval after the last one has ended. */
export abstract class PeriodicComponent extends Component {
    private timer: Timer | undefined;
    private running = false;
    private current: Promise<void> = Promise.resolve();

    constructor(protected readonly clock: Clock, private readonly intervalMs: number) {
        super();
    }

    /** Does the work once. A rejection goes to `onFailure`. */
    protected abstract runOnce(): Promise<void>;

    protected abstract onFailure(err: unknown): void;

    /** Time to the next run, in milliseconds. */
    protected nextDelayMs(): number {
        return this.intervalMs;
    }

    override async start(): Promise<void> {
        this.running = true;
        this.schedule();
    }

    /** Stops the repetition and waits for the run in progress. */
    override async close(): Promise<void> {
        this.running = false;
        this.timer?.cancel();
        await this.current;
    }

    private schedule(): void {
        if (this.running) {
            this.timer = this.clock.schedule(this.clock.now() + this.nextDelayMs(), () => {
                this.current = this.runOnce().catch((err: unknown) => this.onFailure(err)).then(() => this.schedule());
            });
        }
    }
}
