import { bodyFields, type BodyFormat, bodyFormat, lengthFields, stripHopByHopHeaders } from "@lentilramp/exchange";
import { ByteAccumulator, type ReadScheduler } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type BodyEnd, BodyReader, type BodySink } from "./body-reader.ts";
import { EventScanner, EventSplitter } from "./event-splitter.ts";
import { HeldEvents } from "./held-events.ts";
import type { ParkedProgress } from "./parked-attempts.ts";
import { SilenceWatch } from "./silence-watch.ts";

/** Answers up to this size, in bytes, are buffered until complete, so that another endpoint can replace a cut one. */
const bufferedLimitBytes = 262_144;
/**
 * Cost, in bytes, above which a part of a stream in which no event with data ends counts as invalid: an event or comments
 * without end. The comments with which an engine keeps a stream open reach it after some 3,600 of them.
 */
const eventLimitCost = 262_144;

/** Status of an answer that has no body, and whose head may not state a length. */
const noContentStatus = 204;

/** Characters that the parser of Node.js accepts in a reason phrase, and that its writer refuses. */
const unsendableReason = /[^\t\x20-\x7e\x80-\xff]/g;

/** The events of one attempt. */
export interface EventStream extends ParkedProgress {
    /** Relays events until the stream ends; may be called again after it has stalled. */
    relay(): Promise<BodyEnd>;
}

/** Writes the answers of endpoints to one caller. */
export class AnswerWriter {
    private lastRelayedEventId: string | undefined;
    private reader: BodyReader | undefined;
    /** Format of the events that have been sent; undefined unless other endpoints' events may follow them. */
    private eventFormat: BodyFormat | undefined;

    constructor(
        private readonly callerRes: ServerResponse,
        private readonly closesConnection: () => boolean,
        /** Called for each part of a body that is written to the caller. */
        private readonly onWrite: () => void,
        private readonly scheduler: ReadScheduler,
    ) {}

    /** Whether the head of an answer has been sent to the caller. */
    get started(): boolean {
        return this.callerRes.headersSent;
    }

    /** Whether another answer may follow what the caller has got: nothing, or complete events. */
    get isContinuable(): boolean {
        return !this.started || this.eventFormat?.isEncoded === false;
    }

    /** Id of the last event that was sent to the caller. */
    get lastEventId(): string | undefined {
        return this.lastRelayedEventId;
    }

    /** Stops relaying because the caller closed its connection. */
    stopForCaller(): void {
        this.reader?.stop("left");
    }

    /**
     * Relays an answer that the caller can use only as a whole. A short answer is buffered until it is complete, so
     * that another endpoint can answer instead when it is cut.
     */
    async relayBuffered(res: IncomingMessage, wasCut: () => Promise<boolean>): Promise<BodyEnd> {
        const buffered = new ByteAccumulator();
        const end = await this.consume(res, wasCut, {
            relay: ({ data }) => {
                if (this.started) {
                    return this.write(data);
                }
                buffered.append(data);
                if (buffered.length <= bufferedLimitBytes) {
                    return true;
                }
                this.writeHead(res);
                return this.write(buffered.take());
            },
        });
        if (end === "complete") {
            this.writeHead(res);
            this.callerRes.end(buffered.take());
        }
        return end;
    }

    /** Relays each chunk of an answer as it arrives. */
    async relayStream(
        res: IncomingMessage,
        wasCut: () => Promise<boolean>,
        onFirstChunk: () => void,
    ): Promise<BodyEnd> {
        let first = true;
        const scanner = new EventScanner();
        let costWithoutEvent = 0;
        const received = await this.consume(res, wasCut, {
            relay: ({ data, cost }) => {
                if (first) {
                    first = false;
                    onFirstChunk();
                    this.writeHead(res, lengthFields);
                }
                costWithoutEvent = scanner.scan(data) ? 0 : costWithoutEvent + cost;
                if (costWithoutEvent > eventLimitCost) {
                    this.reader?.stop("cut");
                }
                return this.write(data);
            },
        });
        const end = received === "complete" && scanner.insideEvent ? "cut" : received;
        if (end === "complete") {
            if (first) {
                this.writeHead(res, lengthFields);
            }
            this.callerRes.end();
        }
        return end;
    }

    /** Opens a stream of which complete events only are relayed, so that another endpoint can resume it after the last. */
    openEvents(
        res: IncomingMessage,
        options: {
            clock: Clock;
            /** Instant by which the first event is expected. */
            firstEventExpectedBy: number;
            /** Pause after an event from which another attempt may resume the stream, in milliseconds. */
            maxGapMs: number;
            /** Whether another attempt can be made now instead of the silent one. */
            tryReplace: () => boolean;
            wasCut: () => Promise<boolean>;
            onFirstEvent: () => void;
            /** Called before the head and the first bytes of the answer are written. */
            onBegin: () => void;
            /** Called for each part that holds an event. */
            onProgress: () => void;
            /** Called for each other part. */
            onOtherPart: (data: Buffer) => void;
        },
    ): EventStream {
        const {
            clock,
            firstEventExpectedBy,
            maxGapMs,
            tryReplace,
            wasCut,
            onFirstEvent,
            onBegin,
            onProgress,
            onOtherPart,
        } = options;
        const splitter = new EventSplitter();
        const silence = new SilenceWatch(clock, tryReplace, () => {
            res.pause();
            this.reader?.stop("stalled");
        });
        let first = true;
        let costWithoutEvent = 0;
        let expectedBy = firstEventExpectedBy;
        let held: HeldEvents | undefined;
        const format = bodyFormat(res.headers);
        const begin = (): void => {
            if (!this.started) {
                onBegin();
                this.eventFormat = format;
                this.writeHead(res, bodyFields);
            }
        };
        const relayBatch: BodySink["relay"] = ({ data, cost }) => {
            const { completeEvents, lastEventId, hasData } = splitter.push(data);
            costWithoutEvent = hasData ? splitter.remainingBytes : costWithoutEvent + cost;
            if (costWithoutEvent > eventLimitCost) {
                this.reader?.stop("cut");
                return true;
            }
            if (lastEventId === undefined) {
                onOtherPart(data);
            }
            if (completeEvents.length === 0) {
                return true;
            }
            // Incomplete events, comments, empty lines and events without an id do not count as progress.
            if (lastEventId !== undefined) {
                if (first) {
                    first = false;
                    onFirstEvent();
                }
                onProgress();
                silence.expectBy(clock.now() + maxGapMs);
                this.lastRelayedEventId = lastEventId;
            }
            begin();
            return this.write(completeEvents);
        };
        // While the caller does not read, the endpoint cannot send.
        const onPause = (isPaused: boolean): void =>
            isPaused ? silence.cancel() : silence.expectBy(clock.now() + maxGapMs);
        const relay = async (): Promise<BodyEnd> => {
            if (this.started && !this.canFollow(format)) {
                return "cut";
            }
            silence.expectBy(expectedBy);
            const sink = { relay: relayBatch, onPause };
            const end = held?.release(sink) ?? await this.consume(res, wasCut, sink);
            held = undefined;
            silence.cancel();
            expectedBy = clock.now() + maxGapMs;
            if (end === "stalled") {
                const incompleteEvent = splitter.takeRemainder();
                splitter.push(incompleteEvent);
                held = new HeldEvents(res, this.callerRes, wasCut, incompleteEvent, this.scheduler);
            }
            if (end !== "complete") {
                return end;
            }
            const remainder = splitter.takeRemainder();
            if (/[^\r\n]/.test(remainder.toString("latin1"))) {
                // A stream that ends inside an event has been broken off, however its connection ended.
                return "cut";
            }
            begin();
            this.callerRes.end(remainder);
            return end;
        };
        return {
            relay,
            get hasProgress() {
                return held?.hasProgress ?? false;
            },
            get isBroken() {
                return held?.isBroken ?? false;
            },
        };
    }

    /** Writes a part of the body; returns false when the caller's connection is full. */
    private write(chunk: Buffer): boolean {
        this.onWrite();
        return this.callerRes.write(chunk);
    }

    /** Whether events of a format may follow those that have been sent. */
    private canFollow({ mediaType, isEncoded }: BodyFormat): boolean {
        const begun = this.eventFormat;
        // An endpoint that names no media type leaves it to the first one.
        return begun !== undefined && !isEncoded && !begun.isEncoded
            && (mediaType === undefined || begun.mediaType === undefined || mediaType === begun.mediaType);
    }

    /** Writes the head of an answer, unless one has been written. `excluded` are fields that may not be true of its body. */
    private writeHead(res: IncomingMessage, excluded?: ReadonlySet<string>): void {
        if (this.callerRes.headersSent) {
            return;
        }
        const headers = stripHopByHopHeaders(
            res.rawHeaders,
            res.statusCode === noContentStatus ? lengthFields : excluded,
        );
        if (this.closesConnection()) {
            headers.push("Connection", "close");
        }
        const reason = (res.statusMessage ?? "").replace(unsendableReason, "");
        this.callerRes.writeHead(res.statusCode ?? 502, reason, headers);
    }

    private async consume(res: IncomingMessage, wasCut: () => Promise<boolean>, sink: BodySink): Promise<BodyEnd> {
        const reader = new BodyReader(res, this.callerRes, wasCut, sink, this.scheduler);
        this.reader = reader;
        try {
            return await reader.read();
        }
        finally {
            this.reader = undefined;
        }
    }
}
