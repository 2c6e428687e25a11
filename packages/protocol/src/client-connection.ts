import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ClientBound, ClientConnectionContext } from "./client-connection-context.ts";
import { type ClientRefusal, ClientRequest, requestCostBytes } from "./client-request.ts";
import type { Holding } from "./memory-account.ts";
import { pieceBytes, pieceLength } from "./message-pieces.ts";

/** Memory of an open connection besides its requests, in bytes. */
const connectionCostBytes = 4_096;
/** Pieces that are parsed in one turn of the event loop, and what a piece of a body counts. */
const turnPieces = 16;
const bodyPieceCost = 8;
/** What one turn may take without a look at the connection in the next; a request with a small body takes 9. */
const unscheduledPieces = 9;
/** Bytes that Node.js reads at once. It reads a connection again in the same turn only if it has got that many. */
const readBytes = 65_536;
/** Heads in one turn from which a client counts as one with too many requests ahead; ordinary ones send 8 ahead. */
const manyHeads = 12;
/** Time for which a connection stays open after a refusal, in milliseconds, so that the client can read it. */
const refusalLingerMs = 5_000;
/** Bytes that are discarded in this time; more than the largest body. */
const refusalLingerBytes = 67_108_864;

/** Time for which a connection counts as one with too many requests ahead, in milliseconds. */
const pipelinedMemoryMs = 5_000;

/**
 * One connection of a client. Its bytes go to the parser of Node.js in pieces that contain at most one head, so that
 * reading can stop between two requests; a read of 64 KiB may hold 3,600 of them.
 */
export class ClientConnection {
    readonly holding: Holding;
    private readonly open = new Set<ClientRequest>();
    private current: ClientRequest | undefined;
    private headBytes = 0;
    private bodyBytesLeft = 0;
    private bodyProgressAt: number;
    private isHeld = false;
    /** When a request was refused, or the last answer was sent; no request is read from then on. */
    private refusedAt: number | undefined;
    /** Whether the last answer is no refusal, so that its client may take long to read it. */
    private sendsLastAnswer = false;
    private lastPipelinedAt = -Infinity;
    private piecesInTurn = 0;
    private headsInTurn = 0;
    /** Whether the next read is in a later turn of the event loop than the last one. */
    private hasReadAll = true;
    private isTurnScheduled = false;
    private unreadBytes = 0;
    private writtenBytes = 0;
    private lastActivityAt: number;
    private readonly parse: (chunk: Buffer) => void;
    private readonly beginTurn = (): boolean => {
        this.isTurnScheduled = false;
        this.startTurn();
        return this.recheck();
    };
    private readonly onData = (chunk: Buffer): void => this.read(chunk);

    constructor(readonly socket: Socket, private readonly ctx: ClientConnectionContext) {
        const now = ctx.clock.now();
        this.holding = ctx.account.open(now);
        this.holding.add(connectionCostBytes);
        this.bodyProgressAt = now;
        this.lastActivityAt = now;
        const parsers = socket.listeners("data") as ((chunk: Buffer) => void)[];
        this.parse = chunk => parsers.forEach(listener => listener.call(socket, chunk));
        // The first listener takes the connection from the native reader of Node.js.
        socket.on("data", this.onData);
        parsers.forEach(listener => socket.off("data", listener));
        socket.on("drain", () => this.recheckSoon());
        socket.once("close", () => this.holding.close());
    }

    /** Whether the account has no room for another body. */
    get refusesNew(): boolean {
        return this.ctx.account.refusesNew(this.holding);
    }

    /** Time for which the client has done nothing, in milliseconds; 0 while an answer is due to it. */
    idleMs(now: number): number {
        if (this.holding.awaitsClient) {
            return this.holding.stalledMs(now);
        }
        return this.open.size > 0 ? 0 : now - this.lastActivityAt;
    }

    /**
     * Whether the client has recently sent more requests ahead than are taken into hand, or goes on with a body whose
     * request has been answered. One that was refused has time to read the refusal.
     */
    isBeyondNeed(now: number): boolean {
        return this.refusedAt === undefined
            && (now - this.lastPipelinedAt < pipelinedMemoryMs || this.isInBody() && this.open.size === 0);
    }

    /** Records a request whose head has been read. */
    recordRequest(req: IncomingMessage, res: ServerResponse): ClientRequest {
        const request = new ClientRequest(req, res, this, this.headBytes);
        this.headBytes = 0;
        this.headsInTurn++;
        this.holding.add(requestCostBytes);
        this.holding.isExempt = false;
        this.bodyProgressAt = this.ctx.clock.now();
        this.bodyBytesLeft = Number(req.headers["content-length"] ?? 0);
        this.open.add(request);
        this.current = request;
        req.on("resume", () => this.recheckSoon());
        res.once("close", () => {
            this.open.delete(request);
            request.close();
            this.recheckSoon();
        });
        return request;
    }

    onRefusal(reason: ClientRefusal): void {
        this.stopReading();
        const bound = reason === "memory short" ? "memory-refused" : "body-slow";
        this.ctx.onLimit(bound);
        this.hold(bound);
    }

    /**
     * Closes the connection after its last answer and `lastBytes`. A connection that is closed with unread bytes is
     * reset, and a client that reads only after it has sent its request would lose the answer; so what arrives is
     * discarded for a time.
     */
    closeSoon(lastBytes: string): void {
        this.sendsLastAnswer = this.refusedAt === undefined;
        this.stopReading();
        const limit = this.socket.bytesRead + refusalLingerBytes;
        this.release();
        this.socket.on("data", () => {
            if (this.socket.bytesRead > limit) {
                this.socket.pause();
            }
        });
        this.socket.end(lastBytes);
        this.socket.resume();
    }

    /** The client owes nothing any more, so that its connection is not chosen before it can read its refusal. */
    private stopReading(): void {
        const now = this.ctx.clock.now();
        this.refusedAt = now;
        this.lastActivityAt = now;
        this.holding.stopWaiting(now);
        this.holding.restart(now);
        this.holding.awaitsClient = this.unreadBytes > 0;
    }

    /** Ends the connection for the room of others: its unfinished body is refused, otherwise it is closed. */
    evict(): void {
        if (this.isInBody() && this.current?.refuse("memory short") === true) {
            return;
        }
        this.ctx.onLimit("memory-closed");
        this.holding.close();
        this.socket.resetAndDestroy();
    }

    /** Looks at what only time changes. */
    check(now: number): void {
        if (this.isIdle()) {
            this.writtenBytes = this.socket.bytesWritten;
            return;
        }
        this.updateUnread(now);
        if (this.refusedAt !== undefined) {
            if (this.hasCompleteRequest() || this.sendsLastAnswer && this.socket.writableLength > 0) {
                // The refusal follows the answers to the requests before it, which may be running.
                this.refusedAt = now;
            }
            else if (now - this.refusedAt > refusalLingerMs) {
                this.socket.destroy();
            }
            return;
        }
        if (
            this.isInBody() && !this.isHeld && this.current?.req.readableFlowing === true
            && now - this.bodyProgressAt > this.ctx.limits.bodyGraceMs
        ) {
            if (!this.current.refuse("body too slow")) {
                this.ctx.onLimit("body-slow");
                this.socket.destroy();
            }
            return;
        }
        this.recheck();
    }

    /** Whether nothing of a request or an answer is in hand, as on most connections at most instants. */
    private isIdle(): boolean {
        return this.open.size === 0 && !this.isHeld && this.refusedAt === undefined && !this.holding.awaitsClient
            && this.unreadBytes === 0 && this.socket.writableLength === 0 && !this.isInMessage();
    }

    /** Counts what the client has not read of its answers. */
    private updateUnread(now: number): void {
        const unread = this.countUnread();
        const written = this.socket.bytesWritten - this.socket.writableLength;
        if (unread > 0 && this.unreadBytes === 0 && !this.isInMessage()) {
            this.holding.restart(now);
        }
        this.holding.add(unread - this.unreadBytes);
        this.holding.recordProgress(Math.max(0, written - this.writtenBytes), now);
        this.unreadBytes = unread;
        this.writtenBytes = written;
        this.holding.awaitsClient = unread > 0 || this.isInMessage();
    }

    private countUnread(): number {
        let unread = this.socket.writableLength;
        for (const { res } of this.open) {
            unread += res.writableLength;
        }
        return unread;
    }

    private isInBody(): boolean {
        return this.current !== undefined && !this.current.req.complete;
    }

    private hasCompleteRequest(): boolean {
        for (const { req } of this.open) {
            if (req.complete) {
                return true;
            }
        }
        return false;
    }

    private isInMessage(): boolean {
        return this.refusedAt === undefined && (this.headBytes > 0 || this.isInBody());
    }

    private read(chunk: Buffer): void {
        this.lastActivityAt = this.ctx.clock.now();
        if (this.hasReadAll && !this.isTurnScheduled) {
            this.startTurn();
        }
        this.hasReadAll = chunk.length < readBytes;
        let rest = chunk;
        while (rest.length > 0) {
            const reason = this.reasonToWait();
            if (reason !== undefined) {
                this.hold(reason);
            }
            else {
                // Node.js resumes the socket by itself when a body gets a reader. What is put back into a flowing socket
                // comes again at once, until the stack overflows.
                this.isHeld = false;
            }
            // The parser, or whoever reads the body, may have paused the connection too.
            if (this.isHeld || this.socket.isPaused()) {
                this.socket.unshift(rest);
                return;
            }
            const length = pieceLength(rest, this.isInBody() ? this.bodyBytesLeft : undefined);
            if (length === rest.length) {
                this.feed(rest);
                return;
            }
            this.feed(rest.subarray(0, length));
            rest = rest.subarray(length);
            if (this.socket.destroyed || this.socket.listenerCount("data", this.onData) === 0) {
                return;
            }
        }
    }

    /** Ends the part of the parser in the connection, which belongs to somebody else from now on. */
    release(): void {
        this.socket.off("data", this.onData);
        // Node.js takes its own listener off a connection on which a tunnel is requested; a reset would end the process.
        this.socket.on("error", () => undefined);
    }

    private feed(piece: Buffer): void {
        const now = this.lastActivityAt;
        this.piecesInTurn += this.isInBody() && piece.length <= pieceBytes ? bodyPieceCost : 1;
        if (this.piecesInTurn > unscheduledPieces || !this.hasReadAll) {
            this.scheduleTurn();
        }
        if (this.isInBody()) {
            this.bodyBytesLeft -= piece.length;
            const forMs = piece.length / this.ctx.limits.bodyBytesPerSecond * 1_000;
            this.bodyProgressAt = Math.min(now, this.bodyProgressAt + forMs);
        }
        else {
            if (this.headBytes === 0) {
                this.holding.restart(now);
            }
            this.headBytes += piece.length;
            this.holding.add(piece.length);
        }
        this.holding.recordProgress(piece.length, now);
        this.parse(piece);
        this.holding.awaitsClient = this.unreadBytes > 0 || this.isInMessage();
    }

    /**
     * Returns the bound because of which nothing more is to be read now, `unread` if nobody reads the body yet, or
     * `turn` if other connections are to be read first. Arranges that the connection is looked at again when that changes.
     */
    private reasonToWait(): ClientBound | "unread" | "turn" | undefined {
        const { account, limits, clock } = this.ctx;
        if (this.refusedAt !== undefined) {
            return "memory-refused";
        }
        if (this.holding.isWaiting) {
            return "memory-waited";
        }
        if (this.piecesInTurn >= turnPieces) {
            if (this.headsInTurn >= manyHeads) {
                this.lastPipelinedAt = clock.now();
            }
            return "turn";
        }
        if (this.isInBody()) {
            const req = this.current?.req;
            // Until somebody reads a body, its chunks would be kept one by one.
            if (req !== undefined && req.readableFlowing !== true && req.readableLength > 0) {
                return "unread";
            }
        }
        else if (this.headBytes > 0) {
            // Node.js limits the time for the rest of a head.
            return undefined;
        }
        else if (this.open.size >= limits.pipelinedRequests / (this.isHeld ? 2 : 1)) {
            this.lastPipelinedAt = clock.now();
            return "pipelined";
        }
        else if (this.socket.writableNeedDrain || this.countUnread() >= limits.unreadAnswerBytes) {
            return "unread-answers";
        }
        if ((this.isInBody() || this.open.size > 0) && !account.mayGrow(this.holding)) {
            const waitedFrom = clock.now();
            this.holding.waitForRoom(waitedFrom, () => {
                this.bodyProgressAt += clock.now() - waitedFrom;
                this.recheck();
            });
            return "memory-waited";
        }
        return undefined;
    }

    private hold(reason: ClientBound | "unread" | "turn"): void {
        if (!this.isHeld && this.refusedAt === undefined && reason !== "unread" && reason !== "turn") {
            this.ctx.onLimit(reason);
        }
        this.isHeld = true;
        this.socket.pause();
        if (this.refusedAt === undefined) {
            this.scheduleTurn();
        }
    }

    /**
     * Looks at the connection in the next turn of the event loop. Going on at once would keep the event loop until all
     * that a client has sent ahead is answered, 0.2 s for 10,000 requests.
     */
    private scheduleTurn(): void {
        if (!this.isTurnScheduled) {
            this.isTurnScheduled = true;
            this.ctx.turns.add(this.beginTurn);
        }
    }

    /** Looks at the connection in the next turn if nothing is read from it now; otherwise each read is a look. */
    private recheckSoon(): void {
        if (this.isHeld) {
            this.scheduleTurn();
        }
    }

    private startTurn(): void {
        this.piecesInTurn = 0;
        this.headsInTurn = 0;
    }

    /** Reads on if nothing prevents that any more; returns whether it does. */
    private recheck(): boolean {
        if (this.isHeld && !this.socket.destroyed && this.reasonToWait() === undefined) {
            this.isHeld = false;
            this.socket.resume();
            return true;
        }
        return false;
    }
}
