import type { Clock, Timer } from "@lentilramp/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import { EventSplitter } from "./event-splitter.ts";
import { stripHopByHopHeaders } from "./hop-by-hop-headers.ts";

/** How the body of an endpoint's answer ended. */
export type BodyEnd =
    | "complete"
    /** The endpoint broke off. */
    | "cut"
    /** No event came for too long. */
    | "stalled"
    /** The caller has left. */
    | "left";

/** Answers up to this size are read whole before the caller gets a byte, in bytes, so that a cut one can be replaced. */
const wholeLimitBytes = 262_144;
/** Bytes without the end of an event after which a stream is no stream of events. */
const eventLimitBytes = 262_144;

/** Writes the answers of endpoints to one caller. */
export class AnswerWriter {
    private splitLastId: string | undefined;
    private stop: (end: BodyEnd) => void = () => undefined;

    constructor(private readonly out: ServerResponse, private readonly closing: () => boolean) {}

    /** Whether the caller has got a part of an answer. */
    get started(): boolean {
        return this.out.headersSent;
    }

    /** Id of the last event that the caller has got. */
    get lastEventId(): string | undefined {
        return this.splitLastId;
    }

    /** Ends what is being written; the caller has left. */
    abandon(): void {
        this.stop("left");
    }

    /**
     * Relays an answer whose parts mean nothing by themselves. A short one is held back until it is whole, so that
     * another endpoint can answer instead when it is cut.
     */
    async whole(res: IncomingMessage, broke: () => Promise<boolean>): Promise<BodyEnd> {
        let held: Buffer[] = [];
        let heldBytes = 0;
        const end = await this.consume(res, broke, piece => {
            if (this.started) {
                return this.out.write(piece);
            }
            held.push(piece);
            heldBytes += piece.length;
            if (heldBytes <= wholeLimitBytes) {
                return true;
            }
            this.writeHead(res);
            const all = Buffer.concat(held);
            held = [];
            return this.out.write(all);
        });
        if (end === "complete") {
            this.writeHead(res);
            this.out.end(Buffer.concat(held));
        }
        return end;
    }

    /** Relays an answer as it comes. */
    async stream(res: IncomingMessage, broke: () => Promise<boolean>, onFirst: () => void): Promise<BodyEnd> {
        let first = true;
        const end = await this.consume(res, broke, piece => {
            if (first) {
                first = false;
                onFirst();
                this.writeHead(res);
            }
            return this.out.write(piece);
        });
        if (end === "complete") {
            if (first) {
                this.writeHead(res);
            }
            this.out.end();
        }
        return end;
    }

    /** Relays whole events, so that another endpoint can go on after the last one. */
    async events(
        res: IncomingMessage,
        options: {
            clock: Clock;
            /** Instant by which the first event must be there, and the longest pause between two events. */
            firstBy: number;
            stallMs: number;
            broke: () => Promise<boolean>;
            onFirst: () => void;
        },
    ): Promise<BodyEnd> {
        const { clock, firstBy, stallMs, broke, onFirst } = options;
        const splitter = new EventSplitter();
        let timer: Timer | undefined;
        let first = true;
        const watch = (until: number): void => {
            timer?.cancel();
            timer = clock.schedule(until, () => this.stop("stalled"));
        };
        watch(firstBy);
        const end = await this.consume(res, broke, piece => {
            const { completeEvents, lastEventId } = splitter.push(piece);
            if (splitter.remainder.length > eventLimitBytes) {
                this.stop("cut");
                return true;
            }
            if (completeEvents.length === 0) {
                return true;
            }
            // Bytes, comments and empty lines are no progress.
            if (lastEventId !== undefined) {
                if (first) {
                    first = false;
                    onFirst();
                }
                watch(clock.now() + stallMs);
                this.splitLastId = lastEventId;
            }
            this.writeHead(res);
            return this.out.write(completeEvents);
        });
        timer?.cancel();
        if (end === "complete") {
            this.writeHead(res);
            this.out.end(splitter.remainder);
        }
        return end;
    }

    private writeHead(res: IncomingMessage): void {
        if (this.out.headersSent) {
            return;
        }
        const headers = stripHopByHopHeaders(res.rawHeaders);
        if (this.closing()) {
            headers.push("Connection", "close");
        }
        this.out.writeHead(res.statusCode ?? 502, res.statusMessage ?? "", headers);
    }

    /** Reads the body; `take` returns false when the caller cannot take more for now. */
    private consume(
        res: IncomingMessage,
        broke: () => Promise<boolean>,
        take: (piece: Buffer) => boolean,
    ): Promise<BodyEnd> {
        return new Promise(resolve => {
            let ended = false;
            const finish = (end: BodyEnd): void => {
                if (!ended) {
                    ended = true;
                    this.stop = () => undefined;
                    resolve(end);
                }
            };
            this.stop = finish;
            if (this.out.destroyed) {
                finish("left");
                return;
            }
            res.on("data", (piece: Buffer) => {
                if (!ended && !take(piece)) {
                    res.pause();
                    this.out.once("drain", () => res.resume());
                }
            });
            res.on("end", () => {
                void broke().then(broken => finish(res.complete && !broken ? "complete" : "cut"));
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
