import type { IncomingMessage } from "node:http";
import type { AdmittedRequest } from "./admission.ts";
import type { AnswerWriter, EventStream } from "./answer-writer.ts";
import type { BodyEnd } from "./body-reader.ts";
import type { InFlightAttempt } from "./in-flight-attempt.ts";
import { ParkedAttempts, type ParkedProgress } from "./parked-attempts.ts";
import type { RelayContext } from "./relay-context.ts";
import { keptOpenMs, parkedMs, stallMs } from "./send-timing.ts";

export interface BodyRelayHooks {
    /** Called when the first part of a stream has arrived. */
    onFirstChunk: () => void;
    /** Called before the first bytes of a stream that may be resumed are written to the caller. */
    onBegin: (inFlight: InFlightAttempt) => void;
    /** Called when an event has begun, so that the parked attempts are about to be closed. */
    onEventBegun: () => void;
    /** Called when the answer has gone on so far that no other attempt is needed. */
    onProgress: () => void;
    /** Whether another attempt is made now instead of a silent one. */
    tryReplace: (inFlight: InFlightAttempt) => boolean;
    /** Called when a parked attempt has been closed. */
    onClose: (inFlight: InFlightAttempt) => void;
    /** Called when the body of a parked attempt that was taken back has ended; resolves as `ParkedAttempts` wants it. */
    onRestEnd: (inFlight: InFlightAttempt, end: BodyEnd) => Promise<boolean>;
}

/** A line of an event, and not of a comment. An endpoint that writes one has begun to run the request. */
const eventLine = /(?:^|\n)[^:\r\n]/;

/** Relays the bodies of the answers to one request, and releases the slots of their endpoints. */
export class BodyRelay {
    /** Silent attempts that the attempt in progress is to replace. */
    readonly parked: ParkedAttempts;

    constructor(
        private readonly admitted: AdmittedRequest,
        private readonly ctx: RelayContext,
        private readonly writer: AnswerWriter,
        private readonly hooks: BodyRelayHooks,
    ) {
        this.parked = new ParkedAttempts(ctx.clock, inFlight => {
            this.releaseSlot(inFlight);
            hooks.onClose(inFlight);
        });
    }

    /** Relays the body of an answer. Parked attempts are left for good at its first event, or at once if it has none. */
    async relay(inFlight: InFlightAttempt, res: IncomingMessage, status: number): Promise<BodyEnd> {
        const { route } = this.admitted;
        const wasCut = (): Promise<boolean> => inFlight.attempt.wasCut();
        if (route.execution !== "stream" || status !== 200) {
            this.onProgress();
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
                onBegin: () => this.hooks.onBegin(inFlight),
                onProgress: () => this.onProgress(),
                onOtherPart: data => {
                    if (!this.parked.isEmpty && eventLine.test(data.toString("latin1"))) {
                        this.parked.closeWithin(keptOpenMs, inFlight);
                        this.hooks.onEventBegun();
                    }
                },
            });
            return await this.relayEvents(inFlight, events);
        }
        this.onProgress();
        const end = await this.writer.relayStream(res, wasCut, onFirstChunk);
        if (end !== "complete") {
            inFlight.attempt.abort();
        }
        return end;
    }

    /** Keeps a silent attempt open while another one is made. `goOn` is called when it is taken back. */
    park(inFlight: InFlightAttempt, progress: ParkedProgress, goOn: () => Promise<boolean>): void {
        this.parked.park(inFlight, progress, goOn, this.keptMs);
    }

    /** Time for which a silent attempt is kept open, in milliseconds. */
    get keptMs(): number {
        const service = this.ctx.view.catalog?.services.get(this.admitted.dispatch.service);
        return parkedMs(this.admitted.route, service?.engine !== undefined);
    }

    /** Releases the slot of an attempt that has ended, unless it is parked. */
    releaseSlot(inFlight: InFlightAttempt): void {
        if (!inFlight.slotReleased && !this.parked.has(inFlight)) {
            inFlight.slotReleased = true;
            this.parked.recordEnd(inFlight);
            inFlight.booking.recordEnd();
            this.reevaluateQueue();
        }
    }

    private async relayEvents(inFlight: InFlightAttempt, events: EventStream): Promise<BodyEnd> {
        const end = await events.relay();
        if (end === "stalled") {
            this.park(
                inFlight,
                events,
                async () => await this.hooks.onRestEnd(inFlight, await this.relayEvents(inFlight, events)),
            );
        }
        else if (end !== "complete") {
            inFlight.attempt.abort();
        }
        return end;
    }

    private onProgress(): void {
        this.parked.closeAll();
        this.hooks.onProgress();
    }

    private reevaluateQueue(): void {
        this.ctx.queue(this.admitted.dispatch.service).reevaluate();
    }
}
