import { ByteAccumulator, chunkCostBytes, type ReadScheduler, type ReadShare } from "@lentilramp/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Outcome of relaying the body of an endpoint's answer. */
export type BodyEnd =
    | "complete"
    /** The endpoint closed or reset the connection before the end of the body. */
    | "cut"
    /** No event arrived for too long, and another attempt is to resume the stream. */
    | "stalled"
    /** The caller closed its connection. */
    | "left";

/** The bytes of a body that arrived in one read of its connection. */
export interface BodyBatch {
    data: Buffer;
    /** Length of the bytes, and what the chunks in which they came cost besides, in bytes. */
    cost: number;
}

export interface BodySink {
    /** Relays a part of the body; returns false when the caller's connection is full. */
    relay(batch: BodyBatch): boolean;
    /** Told when reading pauses, since the caller does not read, and when it goes on. */
    onPause?(isPaused: boolean): void;
}

/**
 * Reads the body of one answer with backpressure, in turns with the other bodies of the process. Passes it on in
 * batches, one for each read of the connection, so that a body in tiny chunks takes few writes.
 */
export class BodyReader {
    private readonly received = new ByteAccumulator();
    private receivedChunks = 0;
    private ended = false;
    private readonly share: ReadShare;
    private resolveEnd: (end: BodyEnd) => void = () => undefined;
    private rejectEnd: (err: unknown) => void = () => undefined;

    constructor(
        private readonly res: IncomingMessage,
        private readonly callerRes: ServerResponse,
        private readonly wasCut: () => Promise<boolean>,
        private readonly sink: BodySink,
        scheduler: ReadScheduler,
    ) {
        // After the end of the answer, its connection belongs to the next request.
        this.share = scheduler.open(() => this.ended || res.complete ? undefined : res.socket);
    }

    /** Resolves with the end of the body. Rejects with the error that the sink throws. */
    read(): Promise<BodyEnd> {
        const end = new Promise<BodyEnd>((resolve, reject) => {
            this.resolveEnd = resolve;
            this.rejectEnd = reject;
        });
        if (this.callerRes.destroyed) {
            this.stop("left");
        }
        else {
            this.listen();
        }
        return end;
    }

    /** Ends the reading; only the first end counts. */
    stop(end: BodyEnd): void {
        this.ended = true;
        this.share.release();
        this.resolveEnd(end);
    }

    private listen(): void {
        const { res } = this;
        if (res.closed) {
            // The connection broke while nobody read the body, and its events have been emitted.
            this.stop("cut");
            return;
        }
        res.on("data", (chunk: Buffer) => this.onChunk(chunk));
        res.on("end", () => {
            this.flush();
            void this.wasCut().then(broken => this.stop(res.complete && !broken ? "complete" : "cut"));
        });
        const onBreak = (): void => {
            this.flush();
            this.stop("cut");
        };
        res.on("error", onBreak);
        res.on("close", () => {
            if (!res.complete) {
                onBreak();
            }
        });
        if (res.isPaused()) {
            res.resume();
        }
    }

    private onChunk(chunk: Buffer): void {
        if (this.ended) {
            return;
        }
        if (this.receivedChunks === 0) {
            process.nextTick(() => this.flush());
        }
        this.received.append(chunk);
        this.receivedChunks++;
    }

    /** Passes on what has been received since the last time. */
    private flush(): void {
        if (this.ended || this.receivedChunks === 0) {
            return;
        }
        this.share.record(this.received.length, this.receivedChunks);
        const cost = this.received.length + this.receivedChunks * chunkCostBytes;
        this.receivedChunks = 0;
        try {
            if (!this.sink.relay({ data: this.received.take(), cost })) {
                this.pauseUntilDrained();
            }
        }
        catch (err) {
            this.ended = true;
            this.share.release();
            this.rejectEnd(err);
        }
    }

    private pauseUntilDrained(): void {
        this.res.pause();
        this.sink.onPause?.(true);
        this.callerRes.once("drain", () => {
            this.res.resume();
            if (!this.ended) {
                this.sink.onPause?.(false);
            }
        });
    }
}
