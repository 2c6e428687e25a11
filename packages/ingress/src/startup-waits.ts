import type { Clock, Timer } from "@lentilramp/runtime";

/** Interval between checks of the requests that wait, in milliseconds. */
const checkIntervalMs = 20;
/**
 * Requests that go on in one turn of the event loop. Otherwise the least urgent ones would be checked before the first
 * urgent one is sent, which takes seconds on a part of a core when all callers return at once.
 */
const batchSize = 8;

/** A request that waits until the process can serve it. */
export interface StartupWait {
    /** Instant at which it goes on in any case, in milliseconds. */
    giveUpAt: number;
    /** Whether it goes on at the instant `now` for another reason, for instance because its caller has left. */
    isOver: (now: number) => boolean;
    /** Returns its rank, the most urgent one lowest; called once the process can serve, as a rank needs a catalog. */
    rank: () => number;
}

interface WaitingRequest extends StartupWait {
    resolve: () => void;
}

interface ReleasedRequest {
    rank: number;
    giveUpAt: number;
    resolve: () => void;
}

/** Requests that arrived before the process could serve. They go on in the order of their urgency once it can. */
export class StartupWaits {
    private waiting: WaitingRequest[] = [];
    /** Requests that go on in the next turns, the last one first. */
    private readonly released: ReleasedRequest[] = [];
    private timer: Timer | undefined;

    constructor(private readonly clock: Clock, private readonly isReady: () => boolean) {}

    /** Whether a request has to wait: the process cannot serve, or more urgent requests may still go on before it. */
    get isBusy(): boolean {
        return !this.isReady() || this.released.length > 0;
    }

    /** Resolves when the request goes on. */
    wait(wait: StartupWait): Promise<void> {
        return new Promise(resolve => {
            const request = { ...wait, resolve };
            if (this.released.length > 0) {
                this.release([request]);
            }
            else {
                this.waiting.push(request);
            }
            this.timer ??= this.clock.schedule(this.clock.now(), () => this.onTimer());
        });
    }

    /** Lets requests go on if they can; called when something may have changed on which that depends. */
    check(): void {
        if (this.waiting.length === 0) {
            return;
        }
        if (this.isReady()) {
            const { waiting } = this;
            this.waiting = [];
            this.release(waiting);
            this.releaseBatch();
            return;
        }
        const now = this.clock.now();
        const goesOn = (request: WaitingRequest): boolean => now >= request.giveUpAt || request.isOver(now);
        const over = this.waiting.filter(goesOn);
        if (over.length > 0) {
            this.waiting = this.waiting.filter(request => !goesOn(request));
            over.forEach(({ resolve }) => resolve());
        }
    }

    private release(requests: readonly WaitingRequest[]): void {
        this.released.push(...requests.map(({ rank, giveUpAt, resolve }) => ({ rank: rank(), giveUpAt, resolve })));
        this.released.sort((a, b) => b.rank - a.rank || b.giveUpAt - a.giveUpAt);
    }

    private releaseBatch(): void {
        this.released.splice(-batchSize).reverse().forEach(({ resolve }) => resolve());
        this.timer?.cancel();
        this.timer = undefined;
        this.scheduleNext();
    }

    private onTimer(): void {
        this.timer = undefined;
        if (this.released.length > 0) {
            this.releaseBatch();
            return;
        }
        this.check();
        this.scheduleNext();
    }

    private scheduleNext(): void {
        if (this.released.length > 0) {
            this.timer ??= this.clock.schedule(this.clock.now(), () => this.onTimer());
        }
        else if (this.waiting.length > 0) {
            const now = this.clock.now();
            const earliest = this.waiting.reduce((first, { giveUpAt }) => Math.min(first, giveUpAt), Infinity);
            this.timer ??= this.clock.schedule(
                Math.max(now, Math.min(earliest, now + checkIntervalMs)),
                () => this.onTimer(),
            );
        }
    }
}
