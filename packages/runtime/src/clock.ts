/** Cancels a scheduled callback. */
export interface Timer {
    cancel(): void;
}

/** Source of the current time and of scheduled callbacks. All instants are milliseconds since the epoch. */
export abstract class Clock {
    abstract now(): number;
    /** Runs `run` once at or after the instant `at`. */
    abstract schedule(at: number, run: () => void): Timer;

    /** Resolves at or after the instant `at`. */
    async sleepUntil(at: number): Promise<void> {
        await new Promise<void>(resolve => {
            this.schedule(at, resolve);
        });
    }
}

/**
 * Clock of the process. `now` advances with the monotonic clock, so that a step of the wall clock
 * neither shortens nor prolongs a lease; the epoch offset is read once at start.
 */
export class SystemClock extends Clock {
    private readonly epochOffset = Date.now() - performance.now();

    override now(): number {
        return this.epochOffset + performance.now();
    }

    override schedule(at: number, run: () => void): Timer {
        const handle = setTimeout(run, Math.max(0, Math.ceil(at - this.now())));
        return { cancel: () => clearTimeout(handle) };
    }
}

interface ManualTimer {
    at: number;
    sequence: number;
    run: () => void;
}

/** Clock for tests and experiments. Time moves only when `advanceTo` is called. */
export class ManualClock extends Clock {
    private timers: ManualTimer[] = [];
    private sequence = 0;

    constructor(private current = 0) {
        super();
    }

    override now(): number {
        return this.current;
    }

    override schedule(at: number, run: () => void): Timer {
        const timer = { at, sequence: this.sequence++, run };
        this.timers.push(timer);
        return { cancel: () => this.timers = this.timers.filter(other => other !== timer) };
    }

    /** Moves to the instant `at` and runs the timers due by then, in order of their instants. */
    advanceTo(at: number): void {
        for (;;) {
            const due = this.timers.filter(timer => timer.at <= at).sort((a, b) =>
                a.at - b.at || a.sequence - b.sequence
            );
            const next = due[0];
            if (next === undefined) {
                break;
            }
            this.timers = this.timers.filter(timer => timer !== next);
            this.current = Math.max(this.current, next.at);
            next.run();
        }
        this.current = Math.max(this.current, at);
    }
}
