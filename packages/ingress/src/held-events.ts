import type { ReadScheduler } from "@lentilramp/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type BodyBatch, type BodyEnd, BodyReader, type BodySink } from "./body-reader.ts";
import { EventSplitter } from "./event-splitter.ts";
import type { ParkedProgress } from "./parked-attempts.ts";

/** Cost of the bytes, in bytes, after which no more are read. */
const heldLimitCost = 262_144;

/** Reads a stream that fell silent up to its next event, and holds what arrives. */
export class HeldEvents implements ParkedProgress {
    private readonly batches: BodyBatch[] = [];
    private readonly splitter = new EventSplitter();
    private readonly reader: BodyReader;
    private cost = 0;
    private hasEvent = false;
    private end: BodyEnd | undefined;

    constructor(
        res: IncomingMessage,
        callerRes: ServerResponse,
        wasCut: () => Promise<boolean>,
        /** Bytes of the stream that have been received after its last complete event. */
        incompleteEvent: Buffer,
        scheduler: ReadScheduler,
    ) {
        this.splitter.push(incompleteEvent);
        this.reader = new BodyReader(res, callerRes, wasCut, {
            relay: batch => {
                this.batches.push(batch);
                this.cost += batch.cost;
                this.hasEvent ||= this.splitter.push(batch.data).lastEventId !== undefined;
                if (this.hasEvent || this.cost > heldLimitCost) {
                    res.pause();
                }
                return true;
            },
        }, scheduler);
        void this.reader.read().then(end => this.end = end);
    }

    get hasProgress(): boolean {
        return this.hasEvent || this.end === "complete";
    }

    get isBroken(): boolean {
        return !this.hasProgress && this.end !== undefined;
    }

    /** Passes on what has arrived; returns the end of the stream if that has been read as well. */
    release(sink: BodySink): BodyEnd | undefined {
        const { end } = this;
        this.reader.stop("left");
        this.batches.forEach(batch => sink.relay(batch));
        return end;
    }
}
