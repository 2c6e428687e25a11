import type { SeededRandom } from "@lentilramp/runtime";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { AnswerReader } from "./answer-reader.ts";
import { kept } from "./calm-endpoint.ts";
import type { Ending, Habit } from "./losses.ts";

/**
 * How a request is written: head and body in one write, in two, the body in pieces, or all of it in pieces that end
 * anywhere.
 */
export const writings = ["together", "apart", "pieces", "torn"] as const;
export type Writing = (typeof writings)[number];

/** A request as a caller writes it. */
export interface RequestPlan {
    id: string;
    path: string;
    method: "GET" | "POST";
    headers: Record<string, string>;
    body: string;
    chunked: boolean;
    writing: Writing;
    habit: Habit;
    budgetMs: number;
}

/** What a caller saw of one exchange. */
export interface ExchangeSeen {
    status: number | undefined;
    seal: string | undefined;
    body: string;
    received: number;
    wholeAt: number | undefined;
    endedAt: number;
    ending: Ending;
    /** Bytes that are no answer. */
    malformed: string | undefined;
}

/** Time after its budget for which a caller still reads, in milliseconds. */
const patienceMs = 600;
/** Pieces in which a slow caller sends its body, and its pause between them, in milliseconds. */
const slowPieces = 12;
const slowPieceMs = 130;
/** Cuts of a torn request, the bytes from its beginning in which they lie, and the pause after each, in milliseconds. */
const tornCuts = 4;
const tornBytes = 700;
const tornPieceMs = 12;
/** Pause of a slow reader after each part of an answer, in milliseconds. */
const readPauseMs = 30;

function split(text: string, pieces: number): string[] {
    const size = Math.max(1, Math.ceil(text.length / pieces));
    return Array.from({ length: Math.ceil(text.length / size) }, (...[, i]) => text.slice(i * size, (i + 1) * size));
}

/** One connection of a caller, which carries one request after the other. */
export class CallerConnection {
    /** Requests that were sent on the connection. */
    requests = 0;
    /** When the last answer was complete. */
    idleSince = Date.now();
    /** Bytes that came while no request waited. */
    unasked: string | undefined;
    private announcedMs = Infinity;
    private usable = true;
    private ended: Ending | undefined;
    private reader: AnswerReader | undefined;
    private slow = false;
    private received = 0;
    private malformed: string | undefined;
    private notify: () => void = () => undefined;

    private constructor(readonly name: string, private readonly socket: Socket, private readonly random: SeededRandom) {
        socket.setNoDelay(true);
        socket.on("data", part => this.take(part));
        socket.on("end", () => this.finish("closed"));
        socket.on("close", () => this.finish("closed"));
        socket.on("error", (error: NodeJS.ErrnoException) => {
            // A write that fails may precede the answer that is still to be read.
            if (error.code !== "EPIPE") {
                this.finish("reset");
            }
        });
    }

    static async open(name: string, host: string, port: number, random: SeededRandom): Promise<CallerConnection> {
        const socket = connect({ host, port, allowHalfOpen: true });
        await new Promise<void>((resolve, reject) => {
            socket.once("connect", resolve).once("error", reject);
        });
        return new CallerConnection(name, socket, random);
    }

    /** Whether a request may be sent after an idle time that the newest configuration and the ingress allow. */
    mayCarry(newestIdleMs: number): boolean {
        const idleMs = Date.now() - this.idleSince;
        const bound = Math.min(newestIdleMs * 4 / 5, this.announcedMs);
        return this.usable && this.ended === undefined && (this.requests === 0 || idleMs <= bound);
    }

    /** Longest time for which the connection may be idle, in milliseconds. */
    maxIdleMs(newestIdleMs: number): number {
        return Math.min(newestIdleMs * 4 / 5, this.announcedMs);
    }

    close(): void {
        this.socket.destroy();
    }

    async exchange(plan: RequestPlan): Promise<ExchangeSeen> {
        const reader = new AnswerReader();
        this.reader = reader;
        this.requests++;
        this.received = 0;
        this.slow = plan.habit === "slow-reader";
        let left = false;
        const over = new Promise<void>(resolve => {
            this.notify = resolve;
        });
        const timer = setTimeout(() => {
            left = true;
            this.notify();
        }, plan.budgetMs + patienceMs);
        const written = this.write(plan);
        let wholeAt: number | undefined;
        void written.then(at => wholeAt = at);
        await over;
        clearTimeout(timer);
        const endedAt = Date.now();
        const ending = reader.complete ? "answered" : left ? "left" : this.ended ?? "closed";
        if (ending === "answered") {
            // A caller finishes its body before it uses the connection again.
            await Promise.race([written, sleep(patienceMs)]);
        }
        this.settle(plan, reader, ending, wholeAt);
        return {
            status: reader.status,
            seal: reader.headers.get("x-response-seal"),
            body: kept(reader.body),
            received: this.received,
            wholeAt,
            endedAt,
            ending,
            malformed: this.malformed,
        };
    }

    private settle(plan: RequestPlan, reader: AnswerReader, ending: Ending, wholeAt: number | undefined): void {
        this.reader = undefined;
        this.idleSince = Date.now();
        const announced = /timeout=(\d+)/.exec(reader.headers.get("keep-alive") ?? "")?.[1];
        this.announcedMs = announced === undefined ? Infinity : Number(announced) * 1_000;
        const closing = reader.headers.get("connection")?.toLowerCase() === "close";
        if (ending !== "answered" || closing || plan.habit === "half-close" || wholeAt === undefined) {
            this.usable = false;
            this.socket.destroy();
        }
    }

    /** Writes a request and returns when its last byte was sent; undefined if the connection failed before. */
    private async write(plan: RequestPlan): Promise<number | undefined> {
        const { method, path, headers, body, chunked, habit } = plan;
        const hasBody = method === "POST";
        const lines = Object.entries({
            ...headers,
            ...hasBody ? chunked ? { "transfer-encoding": "chunked" } : { "content-length": String(body.length) } : {},
        }).map(([name, value]) => `${name}: ${value}\r\n`);
        const head = `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n`;
        if (habit === "refused-deaf") {
            this.socket.pause();
        }
        const isSlow = habit === "slow-body" || habit === "refused" || habit === "refused-deaf";
        const pieces = isSlow ? slowPieces : plan.writing === "together" || plan.writing === "apart" ? 1 : 5;
        const parts = hasBody ? split(body, pieces) : [];
        const encoded = chunked && hasBody
            ? [...parts.map(part => `${part.length.toString(16)}\r\n${part}\r\n`), "0\r\n\r\n"]
            : parts;
        const ok = isSlow
            ? await this.sendInTurn([head, ...encoded], slowPieceMs)
            : plan.writing === "together"
            ? await this.send([head, ...encoded].join(""))
            : plan.writing === "torn"
            ? await this.sendInTurn(this.tear([head, ...encoded].join("")), tornPieceMs)
            : await this.sendInTurn([head, ...encoded], plan.writing === "apart" ? 0 : tornPieceMs);
        const at = Date.now();
        if (ok && habit === "half-close") {
            this.socket.end();
        }
        if (habit === "refused-deaf") {
            this.socket.resume();
        }
        return ok ? at : undefined;
    }

    /** Cuts a text at points that may lie within a line of the head, the size of a chunk or its end. */
    private tear(text: string): string[] {
        const cuts = Array.from({ length: tornCuts }, () => this.random.nextInt(Math.min(text.length, tornBytes)));
        const ends = [...cuts, text.length - 1 - this.random.nextInt(4), text.length].sort((a, b) => a - b);
        return ends.map((end, i) => text.slice(i === 0 ? 0 : ends[i - 1], end)).filter(part => part !== "");
    }

    /** Sends parts with pauses of `pauseMs` milliseconds on average. */
    private async sendInTurn(parts: readonly string[], pauseMs: number): Promise<boolean> {
        for (const [i, part] of parts.entries()) {
            if (i > 0 && pauseMs > 0) {
                await sleep(pauseMs * (0.5 + this.random.next()));
            }
            if (part !== "" && !await this.send(part)) {
                return false;
            }
        }
        return true;
    }

    private async send(text: string): Promise<boolean> {
        if (!this.socket.writable) {
            return false;
        }
        return await new Promise<boolean>(resolve => {
            this.socket.write(text, "latin1", error => resolve(!error));
        });
    }

    private take(part: Buffer): void {
        const { reader } = this;
        if (reader === undefined) {
            this.unasked ??= part.toString("latin1").slice(0, 80);
            return;
        }
        this.received += part.length;
        try {
            reader.take(part);
        }
        catch (error) {
            this.malformed = String(error);
            this.finish("closed");
        }
        if (reader.complete) {
            this.notify();
        }
        else if (this.slow) {
            this.socket.pause();
            setTimeout(() => this.socket.resume(), readPauseMs);
        }
    }

    private finish(ending: "closed" | "reset"): void {
        if (ending === "closed" && this.ended === undefined) {
            this.reader?.end();
        }
        this.ended ??= ending;
        if (this.reader === undefined) {
            this.socket.destroy();
        }
        this.notify();
    }
}
