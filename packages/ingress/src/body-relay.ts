import type { IncomingMessage } from "node:http";
import type { AdmittedRequest } from "./admission.ts";
import type { AnswerWriter, EventStream } from "./answer-writer.ts";
import type { BodyEnd } from "./body-reader.ts";
import type { InFlightAttempt } from "./in-flight-attempt.ts";
import type { RelayContext } from "./relay.ts";
import { stallMs } from "./send-timing.ts";
import { StalledStream } from "./stalled-stream.ts";

export interface BodyRelayHooks {
    /** Called when the first part of a stream has arrived. */
    onFirstChunk: () => void;
    /** Whether another attempt is made now instead of a silent one. */
    tryReplace: (inFlight: InFlightAttempt) => boolean;
}

/** Relays the bodies of the answers to one request, and releases the slots of their endpoints. */
export class BodyRelay {
    /** The stream that has stalled and that the attempt in progress is to replace. */
    private stalled: StalledStream | undefined;

    constructor(
        private readonly admitted: AdmittedRequest,
        private readonly ctx: RelayContext,
        private readonly writer: AnswerWriter,
        private readonly hooks: BodyRelayHooks,
    ) {}

    /** Whether a stream has stalled, and neither gone on nor been left for good. */
    get hasStalled(): boolean {
        return this.stalled !== undefined;
    }

    /** Relays the body of an answer. A stream that stalled before is left for good. */
    async relay(inFlight: InFlightAttempt, res: IncomingMessage, status: number): Promise<BodyEnd> {
        this.leaveStalled();
        const { route } = this.admitted;
        const wasCut = (): Promise<boolean> => inFlight.attempt.wasCut();
        if (route.execution !== "stream" || status !== 200) {
            return await this.writer.relayBuffered(res, wasCut);
        }
        const onFirstChunk = (): void => {
            inFlight.booking.recordFirstByte(this.ctx.clock.now());
            this.reevaluateQueue();
            this.hooks.onFirstChunk();
        };
        if (route.resumable) {
            const events = this.writer.openEvents(res, {
                clock: this.ctx.clock,
                firstEventExpectedBy: inFlight.firstByteExpectedBy,
                maxGapMs: stallMs(route),
                tryReplace: () => this.hooks.tryReplace(inFlight),
                wasCut,
                onFirstEvent: onFirstChunk,
            });
            return await this.relayEvents(inFlight, events);
        }
        const end = await this.writer.relayStream(res, wasCut, onFirstChunk);
        if (end !== "complete") {
            inFlight.attempt.abort();
        }
        return end;
    }

    /** Takes a stalled stream back if its endpoint still serves it; the returned function relays the rest of it. */
    takeStalledBack(): { inFlight: InFlightAttempt; relay: () => Promise<BodyEnd>; } | undefined {
        const { stalled } = this;
        this.stalled = undefined;
        if (stalled?.takeBack() !== true) {
            return undefined;
        }
        const { inFlight, events } = stalled;
        return { inFlight, relay: () => this.relayEvents(inFlight, events) };
    }

    /** Closes a stalled stream, if there is one. */
    leaveStalled(): void {
        this.stalled?.close();
        this.stalled = undefined;
    }

    /** Releases the slot of an attempt, unless it has stalled and may be taken back. */
    releaseSlot(inFlight: InFlightAttempt): void {
        if (!inFlight.slotReleased && this.stalled?.inFlight !== inFlight) {
            inFlight.slotReleased = true;
            inFlight.booking.recordEnd();
            this.reevaluateQueue();
        }
    }

    private async relayEvents(inFlight: InFlightAttempt, events: EventStream): Promise<BodyEnd> {
        const end = await events.relay();
        if (end === "stalled") {
            const stalled = new StalledStream(inFlight, events, this.ctx.clock, () => {
                this.stalled = this.stalled === stalled ? undefined : this.stalled;
                this.releaseSlot(inFlight);
            });
            this.stalled = stalled;
        }
        else if (end !== "complete") {
            inFlight.attempt.abort();
        }
        return end;
    }

    private reevaluateQueue(): void {
        this.ctx.queue(this.admitted.dispatch.service).reevaluate();
    }
}
