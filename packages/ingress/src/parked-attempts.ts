import type { Endpoint } from "@lentilramp/fleet";
import type { Clock, Timer } from "@lentilramp/runtime";
import type { InFlightAttempt } from "./in-flight-attempt.ts";

/** What a parked attempt has received since it fell silent. */
export interface ParkedProgress {
    /** Whether the endpoint has gone on. */
    readonly hasProgress: boolean;
    /** Whether the endpoint has ended the attempt without having gone on. */
    readonly isBroken: boolean;
}

interface Parked {
    inFlight: InFlightAttempt;
    progress: ParkedProgress;
    /** Goes on with the attempt; resolves with whether the request is finished. */
    goOn: () => Promise<boolean>;
    timer: Timer | undefined;
}

/**
 * Attempts of one request that fell silent and are kept open while another one is made. A sound endpoint goes on after a
 * pause, while the other one may refuse, fail or pause as well.
 */
export class ParkedAttempts {
    private readonly parked = new Map<InFlightAttempt, Parked>();
    /**
     * Instant at which all attempts are closed that are parked by then; undefined until it is known. It stays the same when
     * a parked attempt and the one in progress change places, since two endpoints have been at work since before that.
     */
    private closeAt: number | undefined;

    constructor(
        private readonly clock: Clock,
        /** Called when an attempt has been closed. */
        private readonly onClose: (inFlight: InFlightAttempt) => void,
    ) {}

    get isEmpty(): boolean {
        return this.parked.size === 0;
    }

    /** Endpoints of the parked attempts. */
    get endpoints(): string[] {
        return [...this.parked.keys()].map(({ endpoint }) => endpoint.id);
    }

    /** Whether the endpoint of an attempt has gone on. */
    get hasProgress(): boolean {
        return [...this.parked.values()].some(({ progress }) => progress.hasProgress);
    }

    has(inFlight: InFlightAttempt): boolean {
        return this.parked.has(inFlight);
    }

    /** Keeps a silent attempt open, for `keptMs` milliseconds at most. */
    park(inFlight: InFlightAttempt, progress: ParkedProgress, goOn: () => Promise<boolean>, keptMs: number): void {
        this.parked.set(inFlight, { inFlight, progress, goOn, timer: undefined });
        if (keptMs !== Infinity) {
            this.closeWithin(keptMs);
        }
        this.scheduleClose();
    }

    /** Closes the attempts after `keptMs` milliseconds, unless they are to be closed earlier. */
    closeWithin(keptMs: number): void {
        this.closeAt = Math.min(this.closeAt ?? Infinity, this.clock.now() + keptMs);
        this.scheduleClose();
    }

    private scheduleClose(): void {
        const { closeAt } = this;
        if (closeAt === undefined) {
            return;
        }
        for (const attempt of this.parked.values()) {
            attempt.timer ??= this.clock.schedule(closeAt, () => this.close(attempt.inFlight));
        }
    }

    /** Returns the attempt that is most likely to go on, which is no longer parked; `mayGoOn` decides which may. */
    takeBack(mayGoOn: (endpoint: Endpoint) => boolean): Omit<Parked, "timer"> | undefined {
        const all = [...this.parked.values()].filter(({ inFlight }) => mayGoOn(inFlight.endpoint));
        const best = all.find(({ progress }) => progress.hasProgress)
            ?? all.find(({ progress }) => !progress.isBroken)
            ?? all[0];
        if (best !== undefined) {
            best.timer?.cancel();
            this.remove(best.inFlight);
        }
        return best;
    }

    /** Closes all attempts, which makes their endpoints cancel the request. */
    closeAll(): void {
        for (const inFlight of [...this.parked.keys()]) {
            this.close(inFlight);
        }
    }

    private close(inFlight: InFlightAttempt): void {
        this.parked.get(inFlight)?.timer?.cancel();
        this.remove(inFlight);
        inFlight.attempt.abort();
        this.onClose(inFlight);
    }

    private remove(inFlight: InFlightAttempt): void {
        this.parked.delete(inFlight);
        if (this.isEmpty) {
            this.closeAt = undefined;
        }
    }
}
