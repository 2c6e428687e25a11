/** Handle of a scheduled callback. */
export interface Timer {
    cancel(): void;
}

/** Source of the current time and of scheduled callbacks. All times are in milliseconds since the epoch. */
export abstract class Clock {
    abstract now(): number;
    /** Runs `callback` once at or after `timeMs`. */
    abstract schedule(timeMs: number, callback: () => void): Timer;

    /** Resolves at or after `timeMs`. */
    async sleepUntil(timeMs: number): Promise<void> {
        await new Promise<void>(resolve => {
            this.schedule(timeMs, resolve);
        });
    }
}

/** Longest delay of a timer in Node.js, in milliseconds; a timer with a longer one fires at once. */
const maxTimerDelayMs = 2 ** 31 - 1;

/**
 * Clock of the process. `now` advances with the monotonic clock, so that a step of the wall clock neither shortens nor
 * extends a lease. The offset to the epoch is read once at startup.
 */
export class SystemClock extends Clock {
    private readonly epochOffsetMs = Date.now() - performance.now();

    /** `maxDelayMs` is the longest delay for which one timer is set; later instants are reached with several. */
    constructor(private readonly maxDelayMs = maxTimerDelayMs) {
        super();
    }

    override now(): number {
        return this.epochOffsetMs + performance.now();
    }

    override schedule(timeMs: number, callback: () => void): Timer {
        let handle: NodeJS.Timeout;
        const arm = (): void => {
            const delayMs = Math.max(0, Math.ceil(timeMs - this.now()));
            handle = setTimeout(onTimer, Math.min(delayMs, this.maxDelayMs));
        };
        // Node.js counts a delay from the start of the turn of the event loop, so that a timer can fire early.
        const onTimer = (): void => this.now() < timeMs ? arm() : callback();
        arm();
        return { cancel: () => clearTimeout(handle) };
    }
}

interface ManualTimer {
    dueMs: number;
    sequence: number;
    callback: () => void;
}

/** Clock for tests and experiments. Time advances only when `advanceTo` is called. */
export class ManualClock extends Clock {
    private timers: ManualTimer[] = [];
    private nextSequence = 0;

    constructor(private currentMs = 0) {
        super();
    }

    override now(): number {
        return this.currentMs;
    }

    override schedule(timeMs: number, callback: () => void): Timer {
        const timer = { dueMs: timeMs, sequence: this.nextSequence++, callback };
        this.timers.push(timer);
        return { cancel: () => this.timers = this.timers.filter(other => other !== timer) };
    }

    /** Advances to `timeMs` and runs the timers due by then, in the order of their due times. */
    advanceTo(timeMs: number): void {
        for (;;) {
            const due = this.timers.filter(timer => timer.dueMs <= timeMs).sort((a, b) =>
                a.dueMs - b.dueMs || a.sequence - b.sequence
            );
            const next = due[0];
            if (next === undefined) {
                break;
            }
            this.timers = this.timers.filter(timer => timer !== next);
            this.currentMs = Math.max(this.currentMs, next.dueMs);
            next.callback();
        }
        this.currentMs = Math.max(this.currentMs, timeMs);
    }
}
