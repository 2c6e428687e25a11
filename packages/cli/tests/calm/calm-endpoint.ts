import type { SeededRandom } from "@lentilramp/runtime";
import { createHash } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Run } from "../soak/soak-endpoint.ts";

/** How an answer is framed: by its length, in chunks, or by the end of its connection. */
export const framings = ["length", "chunked", "close"] as const;
export type Framing = (typeof framings)[number];

/** What an endpoint is asked to answer: a body of bytes or a stream of events. */
export interface AnswerForm {
    framing: Framing;
    streaming: boolean;
    /** Bytes of a body, or events of a stream. */
    size: number;
    /** Time between two events, in milliseconds. */
    gapMs: number;
    /** Bytes by which each event is longer than it has to be. */
    padding: number;
}

/** What became of a request that reached an endpoint. */
export interface Arrival {
    at: number;
    id: string;
    endpoint: string;
    /** Points of the answer at which the endpoint pauses. */
    pauses: string[];
    /** `left`: the ingress closed the connection before the answer was whole. */
    outcome: "working" | "answered" | "full" | "other-instance" | "left" | "cut-before-end-of-request";
    endedAt: number | undefined;
}

/** Time for which an endpoint still serves after the list shows that it leaves, in milliseconds. */
const drainMs = 3_000;
const maxDrainExtraMs = 4_000;
/** Longest time for which a leaving endpoint waits for the end of its answers, in milliseconds. */
const finishMs = 10_000;
const maxPauseMs = 1_400;
const maxWorkMs = 40;
/**
 * Share of the requests whose answer has pauses, which are refused or answered with `Connection: close`, and of the
 * refusals that come after a wait in the queue.
 */
export interface Shares {
    paused: number;
    pausedTwice: number;
    full: number;
    /** Of requests that were sent to an endpoint before. */
    fullAgain: number;
    refusedLate: number;
    closing: number;
    /** Shortest pause, in milliseconds. */
    minPauseMs: number;
}

/** Longest text that is compared as it is; of a longer one the hash is kept. */
const maxKeptText = 400;

/** A text as it is kept for comparison. */
export function kept(text: string): string {
    return text.length <= maxKeptText
        ? text
        : `${text.length} ${createHash("sha1").update(text, "latin1").digest("hex")} ${text.slice(0, 40)}`;
}

/** The body of a request, or of its answer. */
export function bodyOf(id: string, bytes: number): string {
    return `${id}:`.repeat(Math.ceil(bytes / (id.length + 1))).slice(0, bytes);
}

/** One event of the stream that belongs to a request and to no other. */
function eventOf(id: string, event: number, padding: number): string {
    return `id: ${event}\ndata: ${id}.${event}${".".repeat(padding)}\n\n`;
}

export function wholeAnswer(id: string, { streaming, size, padding }: AnswerForm): string {
    return streaming
        ? Array.from({ length: size }, (...[, i]) => eventOf(id, i + 1, padding)).join("")
        : bodyOf(id, size);
}

/** The last part of a path, which tells the endpoint what to answer. */
export function formPath({ framing, streaming, size, gapMs, padding }: AnswerForm): string {
    return [streaming ? "events" : "bytes", framing, size, gapMs, padding].join(".");
}

function parseForm(path: string): AnswerForm {
    const [kind, framing, size, gapMs, padding] = (path.split("/").at(-1) ?? "").split(".");
    return {
        streaming: kind === "events",
        framing: framings.find(one => one === framing) ?? "length",
        size: Number(size),
        gapMs: Number(gapMs),
        padding: Number(padding),
    };
}

/** A sound endpoint that pauses at any point of an answer, is full now and then, and leaves as announced. */
export class CalmEndpoint {
    leaving = false;
    /** Whether the endpoint refuses all requests as full. */
    full = false;
    private active = 0;
    private readonly server: Server = createServer((req, res) => void this.handle(req, res));

    constructor(
        readonly id: string,
        readonly service: string,
        private readonly random: SeededRandom,
        private readonly shares: Shares,
        private readonly runs: Run[],
        private readonly arrivals: Arrival[],
    ) {
        // The server announces the whole seconds of this time.
        this.server.keepAliveTimeout = 1_000 * (1 + random.nextInt(4));
        this.server.requestTimeout = 0;
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    async start(port = 0): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject).listen(port, "127.0.0.1", resolve);
        });
    }

    /** Leaves as announced: `gone` is called when the list no longer names the endpoint. */
    async leave(gone: () => void): Promise<void> {
        this.leaving = true;
        await sleep(drainMs + this.random.next() * maxDrainExtraMs);
        gone();
        this.server.close();
        const deadline = Date.now() + finishMs;
        while (this.active > 0 && Date.now() < deadline) {
            await sleep(20);
        }
        this.close();
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (req.url === "/h") {
            res.writeHead(this.leaving ? 503 : 200, { "x-instance": this.id }).end();
            return;
        }
        const id = String(req.headers["x-attempt-id"]);
        const arrival: Arrival = {
            at: Date.now(),
            id,
            endpoint: this.id,
            pauses: [],
            outcome: "working",
            endedAt: undefined,
        };
        const full = this.arrivals.some(earlier => earlier.id === id) ? this.shares.fullAgain : this.shares.full;
        this.arrivals.push(arrival);
        this.active++;
        const end = (outcome: Arrival["outcome"]): void => {
            if (arrival.outcome === "working") {
                arrival.outcome = outcome;
            }
            arrival.endedAt ??= Date.now();
        };
        res.once("close", () => {
            this.active--;
            end(res.writableFinished ? "answered" : "left");
        });
        res.setHeader("x-attempt-id", id);
        if (this.leaving) {
            res.setHeader("server-leaving", "1");
        }
        if (this.leaving || this.random.next() < this.shares.closing) {
            res.setHeader("connection", "close");
        }
        if (req.headers["x-expected-instance"] !== this.id) {
            end("other-instance");
            res.writeHead(421, { "x-not-executed": "1" }).end();
            return;
        }
        if (this.full || this.random.next() < full) {
            if (this.random.next() < this.shares.refusedLate) {
                await sleep(this.random.next() * maxPauseMs);
            }
            end("full");
            res.writeHead(503, { "x-not-executed": "1" }).end();
            return;
        }
        const parts: Buffer[] = [];
        try {
            for await (const part of req) {
                parts.push(part as Buffer);
            }
        }
        catch {
            end("cut-before-end-of-request");
            return;
        }
        this.runs.push({
            at: Date.now(),
            id,
            path: req.url ?? "",
            workspace: String(req.headers["x-tenant"]),
            body: kept(Buffer.concat(parts).toString("latin1")),
            endpoint: this.id,
        });
        await this.answer(id, parseForm(req.url ?? ""), Number(req.headers["last-event-id"] ?? 0), res, arrival);
    }

    private async answer(
        id: string,
        form: AnswerForm,
        lastEvent: number,
        res: ServerResponse,
        arrival: Arrival,
    ): Promise<void> {
        const points = form.streaming
            ? ["before-head", "after-head", "between-events", "within-event", "before-end"]
            : ["before-head", "after-head", "within-body", "before-end"];
        if (this.random.next() < this.shares.paused) {
            arrival.pauses = this.random.sample(points, this.random.next() < this.shares.pausedTwice ? 2 : 1);
        }
        const pauseMs = this.shares.minPauseMs + this.random.next() * (maxPauseMs - this.shares.minPauseMs);
        const pause = async (point: string): Promise<void> => {
            if (arrival.pauses.includes(point)) {
                await sleep(pauseMs);
            }
        };
        await sleep(this.random.next() * maxWorkMs);
        await pause("before-head");
        const body = wholeAnswer(id, form);
        if (form.framing === "length" && !form.streaming) {
            res.setHeader("content-length", body.length);
        }
        else if (form.framing === "close") {
            res.removeHeader("content-length");
            res.removeHeader("transfer-encoding");
        }
        res.writeHead(200, {
            "content-type": form.streaming ? "text/event-stream" : "text/plain",
            "x-response-seal": `${this.id}.${id}`,
        });
        if (arrival.pauses.includes("after-head")) {
            res.flushHeaders();
            await pause("after-head");
        }
        if (form.streaming) {
            await this.writeEvents(id, form, lastEvent, res, pause);
            await pause("before-end");
            res.end();
            return;
        }
        const half = Math.floor(body.length / 2);
        res.write(body.slice(0, half));
        await pause("within-body");
        res.write(body.slice(half, -1));
        await pause("before-end");
        res.end(body.slice(-1));
    }

    private async writeEvents(
        id: string,
        { size: events, gapMs, padding }: AnswerForm,
        lastEvent: number,
        res: ServerResponse,
        pause: (point: string) => Promise<void>,
    ): Promise<void> {
        const pausedAt = lastEvent + 1 + this.random.nextInt(Math.max(1, events - lastEvent));
        for (let event = lastEvent + 1; event <= events && !res.destroyed; event++) {
            const text = eventOf(id, event, padding);
            if (event === pausedAt) {
                await pause("between-events");
                res.write(text.slice(0, -4));
                await pause("within-event");
                res.write(text.slice(-4));
            }
            else {
                res.write(text);
            }
            await sleep(gapMs);
        }
    }
}
