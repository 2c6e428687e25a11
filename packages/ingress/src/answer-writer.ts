import type { Clock } from "@lentilramp/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import { EventSplitter } from "./event-splitter.ts";
import { stripHopByHopHeaders } from "./hop-by-hop-headers.ts";
import { SilenceWatch } from "./silence-watch.ts";

/** Outcome of relaying the body of an endpoint's answer. */
export type BodyEnd =
    | "complete"
    /** The endpoint closed or reset the connection before the end of the body. */
    | "cut"
    /** No event arrived for too long, and another attempt is to resume the stream. */
    | "stalled"
    /** The caller closed its connection. */
    | "left";

/** Answers up to this size, in bytes, are buffered until complete, so that another endpoint can replace a cut one. */
const bufferedLimitBytes = 262_144;
/** Length of an incomplete event, in bytes, at which a stream counts as invalid and is closed. */
const eventLimitBytes = 262_144;

/** Length of the longest boundary between two events, in bytes. */
const boundaryBytes = 4;

/** Characters that the parser of Node.js accepts in a reason phrase, and that its writer refuses. */
const unsendableReason = /[^\t\x20-\x7e\x80-\xff]/g;

/** Whether the last bytes of a stream end an event. */
function endsAtEventBoundary(tail: string): boolean {
    return tail.endsWith("\n\n") || tail.endsWith("\r\n\r\n");
}

/** Writes the answers of endpoints to one caller. */
export class AnswerWriter {
    private lastRelayedEventId: string | undefined;
    private stop: (end: BodyEnd) => void = () => undefined;

    constructor(
        private readonly callerRes: ServerResponse,
        private readonly closesConnection: () => boolean,
        /** Called for each part of a body that is written to the caller. */
        private readonly onWrite: () => void,
    ) {}

    /** Whether the head of an answer has been sent to the caller. */
    get started(): boolean {
        return this.callerRes.headersSent;
    }

    /** Id of the last event that was sent to the caller. */
    get lastEventId(): string | undefined {
        return this.lastRelayedEventId;
    }

    /** Stops relaying because the caller closed its connection. */
    stopForCaller(): void {
        this.stop("left");
    }

    /**
     * Relays an answer that the caller can use only as a whole. A short answer is buffered until it is complete, so
     * that another endpoint can answer instead when it is cut.
     */
    async relayBuffered(res: IncomingMessage, wasCut: () => Promise<boolean>): Promise<BodyEnd> {
        let buffered: Buffer[] = [];
        let bufferedBytes = 0;
        const end = await this.consume(res, wasCut, chunk => {
            if (this.started) {
                return this.write(chunk);
            }
            buffered.push(chunk);
            bufferedBytes += chunk.length;
            if (bufferedBytes <= bufferedLimitBytes) {
                return true;
            }
            this.writeHead(res);
            const chunks = Buffer.concat(buffered);
            buffered = [];
            return this.write(chunks);
        });
        if (end === "complete") {
            this.writeHead(res);
            this.callerRes.end(Buffer.concat(buffered));
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
        let tail = "";
        const received = await this.consume(res, wasCut, chunk => {
            if (first) {
                first = false;
                onFirstChunk();
                this.writeHead(res);
            }
            tail = (tail + chunk.subarray(-boundaryBytes).toString("latin1")).slice(-boundaryBytes);
            return this.write(chunk);
        });
        const end = received === "complete" && !first && !endsAtEventBoundary(tail) ? "cut" : received;
        if (end === "complete") {
            if (first) {
                this.writeHead(res);
            }
            this.callerRes.end();
        }
        return end;
    }

    /** Relays complete events only, so that another endpoint can resume the stream after the last one. */
    async relayEvents(
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
        },
    ): Promise<BodyEnd> {
        const { clock, firstEventExpectedBy, maxGapMs, tryReplace, wasCut, onFirstEvent } = options;
        const splitter = new EventSplitter();
        const silence = new SilenceWatch(clock, tryReplace, () => this.stop("stalled"));
        let first = true;
        silence.expectBy(firstEventExpectedBy);
        const relayChunk = (chunk: Buffer): boolean => {
            const { completeEvents, lastEventId } = splitter.push(chunk);
            if (splitter.remainder.length > eventLimitBytes) {
                this.stop("cut");
                return true;
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
                silence.expectBy(clock.now() + maxGapMs);
                this.lastRelayedEventId = lastEventId;
            }
            this.writeHead(res);
            return this.write(completeEvents);
        };
        // While the caller does not read, the endpoint cannot send.
        const end = await this.consume(
            res,
            wasCut,
            relayChunk,
            isPaused => isPaused ? silence.cancel() : silence.expectBy(clock.now() + maxGapMs),
        );
        silence.cancel();
        if (end === "complete" && /[^\r\n]/.test(splitter.remainder.toString("latin1"))) {
            // A stream that ends inside an event has been broken off, however its connection ended.
            return "cut";
        }
        if (end === "complete") {
            this.writeHead(res);
            this.callerRes.end(splitter.remainder);
        }
        return end;
    }

    /** Writes a part of the body; returns false when the caller's connection is full. */
    private write(chunk: Buffer): boolean {
        this.onWrite();
        return this.callerRes.write(chunk);
    }

    private writeHead(res: IncomingMessage): void {
        if (this.callerRes.headersSent) {
            return;
        }
        const headers = stripHopByHopHeaders(res.rawHeaders);
        if (this.closesConnection()) {
            headers.push("Connection", "close");
        }
        const reason = (res.statusMessage ?? "").replace(unsendableReason, "");
        this.callerRes.writeHead(res.statusCode ?? 502, reason, headers);
    }

    /**
     * Reads the body with backpressure; `relayChunk` returns false when the caller's connection is full, and `onPause`
     * is told when reading pauses and goes on. Rejects with the error that `relayChunk` throws.
     */
    private consume(
        res: IncomingMessage,
        wasCut: () => Promise<boolean>,
        relayChunk: (chunk: Buffer) => boolean,
        onPause: (isPaused: boolean) => void = () => undefined,
    ): Promise<BodyEnd> {
        return new Promise((resolve, reject) => {
            let ended = false;
            const settle = (action: () => void): void => {
                if (!ended) {
                    ended = true;
                    this.stop = () => undefined;
                    action();
                }
            };
            const finish = (end: BodyEnd): void => settle(() => resolve(end));
            this.stop = finish;
            if (this.callerRes.destroyed) {
                finish("left");
                return;
            }
            res.on("data", (chunk: Buffer) => {
                try {
                    if (!ended && !relayChunk(chunk)) {
                        res.pause();
                        onPause(true);
                        this.callerRes.once("drain", () => {
                            res.resume();
                            if (!ended) {
                                onPause(false);
                            }
                        });
                    }
                }
                catch (err) {
                    settle(() => reject(err as Error));
                }
            });
            res.on("end", () => {
                void wasCut().then(broken => finish(res.complete && !broken ? "complete" : "cut"));
            });
            res.on("error", () => finish("cut"));
            res.on("close", () => {
                if (!res.complete) {
                    finish("cut");
                }
            });
        });
    }
}
