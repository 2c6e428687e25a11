import type { Clock, Timer } from "@lentilramp/runtime";
import type { EventStream } from "./answer-writer.ts";
import type { InFlightAttempt } from "./in-flight-attempt.ts";

/** Time for which a stalled attempt is kept open beside the one that is to replace it, in milliseconds. */
const keptOpenMs = 300;

/**
 * A stream that fell silent and is to be resumed at another endpoint. It is kept open until that endpoint answers or a
 * short time has passed, since a sound endpoint goes on after a pause while the other one may refuse.
 */
export class StalledStream {
    private isOpen = true;
    private readonly timer: Timer;

    constructor(
        readonly inFlight: InFlightAttempt,
        readonly events: EventStream,
        clock: Clock,
        /** Called when the attempt is closed. */
        private readonly onClose: () => void,
    ) {
        this.timer = clock.schedule(clock.now() + keptOpenMs, () => this.close());
    }

    /** Closes the attempt, which makes the endpoint cancel the request. */
    close(): void {
        if (this.isOpen) {
            this.isOpen = false;
            this.timer.cancel();
            this.inFlight.attempt.abort();
            this.onClose();
        }
    }

    /** Takes the stream back; returns false if it has been closed or broken meanwhile. */
    takeBack(): boolean {
        if (this.events.isBroken) {
            this.close();
        }
        const isTaken = this.isOpen;
        this.isOpen = false;
        this.timer.cancel();
        return isTaken;
    }
}
