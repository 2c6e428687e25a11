import type { Clock, Timer } from "@lentilramp/runtime";

/** Interval at which a silent attempt that nothing could replace is looked at again, in milliseconds. */
const recheckIntervalMs = 200;

/**
 * Watches one attempt for silence. A sound endpoint may be silent for a second and go on, so silence alone never ends
 * an attempt: it is left only for another one, and otherwise goes on until the request's deadline.
 */
export class SilenceWatch {
    private timer: Timer | undefined;
    private immediate: NodeJS.Immediate | undefined;

    constructor(
        private readonly clock: Clock,
        /** Whether another attempt can be made now; asked only while the endpoint is silent for too long. */
        private readonly tryReplace: () => boolean,
        /** Called once when another attempt is to replace the silent one. */
        private readonly onReplace: () => void,
    ) {}

    /** Expects the next sign of progress by the instant `until`, instead of any earlier expectation. */
    expectBy(until: number): void {
        this.cancel();
        // Timers run before sockets are read: after a pause of this process, the answer may be there already.
        this.timer = this.clock.schedule(until, () => this.immediate = setImmediate(() => this.onSilence()));
    }

    cancel(): void {
        this.timer?.cancel();
        this.timer = undefined;
        clearImmediate(this.immediate);
        this.immediate = undefined;
    }

    private onSilence(): void {
        if (this.tryReplace()) {
            this.onReplace();
        }
        else {
            this.expectBy(this.clock.now() + recheckIntervalMs);
        }
    }
}
