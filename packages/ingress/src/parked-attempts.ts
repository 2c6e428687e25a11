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
    /** Instant from which the attempt is not kept open, whatever other attempts there are; Infinity without a limit. */
    keptUntil: number;
    /** Instants from which this attempt and another one may not both be open, by that other attempt. */
    closeAt: Map<InFlightAttempt, number>;
    timer: Timer | undefined;
}

/**
 * Attempts of one request that fell silent and are kept open while another one is made. A sound endpoint goes on after a
 * pause, while the other one may refuse, fail or pause as well.
 *
 * Two endpoints may be at work for a limited time. It is recorded for each pair of attempts: it stays the same when both
 * change places, does not apply to a third attempt that has not begun, and ends with either of the two.
 */
export class ParkedAttempts {
    private readonly parked = new Map<InFlightAttempt, Parked>();

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
        const keptUntil = this.clock.now() + keptMs;
        const attempt: Parked = { inFlight, progress, goOn, keptUntil, closeAt: new Map(), timer: undefined };
        this.parked.set(inFlight, attempt);
        this.schedule(attempt);
    }

    /**
     * Closes the attempts after `keptMs` milliseconds, unless they are to be closed earlier: the endpoint of `other`, the
     * attempt in progress, has begun to work. An attempt stays open if `other` ends before.
     */
    closeWithin(keptMs: number, other: InFlightAttempt): void {
        const closeAt = this.clock.now() + keptMs;
        for (const attempt of this.parked.values()) {
            this.limit(attempt, other, closeAt);
        }
    }

    /** Records the end of an attempt that is not parked: its endpoint works no more. */
    recordEnd(inFlight: InFlightAttempt): void {
        for (const attempt of this.parked.values()) {
            if (attempt.closeAt.delete(inFlight)) {
                this.schedule(attempt);
            }
        }
    }

    /** Returns the attempt that is most likely to go on, which is no longer parked; `mayGoOn` decides which may. */
    takeBack(mayGoOn: (endpoint: Endpoint) => boolean): Pick<Parked, "inFlight" | "progress" | "goOn"> | undefined {
        const best = mostLikelyToGoOn([...this.parked.values()].filter(({ inFlight }) => mayGoOn(inFlight.endpoint)));
        if (best === undefined) {
            return undefined;
        }
        best.timer?.cancel();
        this.parked.delete(best.inFlight);
        for (const attempt of this.parked.values()) {
            const closeAt = Math.min(best.keptUntil, best.closeAt.get(attempt.inFlight) ?? Infinity);
            this.limit(attempt, best.inFlight, closeAt);
        }
        return best;
    }

    /** Closes all attempts, which makes their endpoints cancel the request. */
    closeAll(): void {
        for (const inFlight of [...this.parked.keys()]) {
            this.close(inFlight);
        }
    }

    private limit(attempt: Parked, other: InFlightAttempt, closeAt: number): void {
        if (closeAt < (attempt.closeAt.get(other) ?? Infinity)) {
            attempt.closeAt.set(other, closeAt);
            this.schedule(attempt);
        }
    }

    private schedule(attempt: Parked): void {
        attempt.timer?.cancel();
        const dueAt = Math.min(attempt.keptUntil, ...attempt.closeAt.values());
        attempt.timer = dueAt === Infinity
            ? undefined
            : this.clock.schedule(dueAt, () => this.onDue(attempt, dueAt));
    }

    /** Closes an attempt, or the other one of its pair if that is parked as well and less likely to go on. */
    private onDue(attempt: Parked, dueAt: number): void {
        const [other] = [...attempt.closeAt].find(([, closeAt]) => closeAt === dueAt) ?? [];
        const rival = other === undefined || attempt.keptUntil <= dueAt ? undefined : this.parked.get(other);
        const isKept = rival !== undefined && mostLikelyToGoOn([rival, attempt]) === attempt;
        this.close(isKept ? rival.inFlight : attempt.inFlight);
    }

    private close(inFlight: InFlightAttempt): void {
        this.parked.get(inFlight)?.timer?.cancel();
        this.parked.delete(inFlight);
        this.recordEnd(inFlight);
        inFlight.attempt.abort();
        this.onClose(inFlight);
    }
}

function mostLikelyToGoOn(attempts: readonly Parked[]): Parked | undefined {
    return attempts.find(({ progress }) => progress.hasProgress)
        ?? attempts.find(({ progress }) => !progress.isBroken)
        ?? attempts[0];
}
