import type { Endpoint } from "@lentilramp/fleet";
import type { Clock, Timer } from "@lentilramp/runtime";
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import type { EndpointPool } from "./endpoint-pool.ts";
import type { AnswerHead, HeaderCodec } from "./platform-adapter.ts";
import { connectDeadline } from "./send-timing.ts";

export type AttemptOutcome =
    | { kind: "answer"; res: IncomingMessage; head: AnswerHead; }
    /** It is proved that the endpoint has not run the request and will not. */
    | {
        kind: "not-run";
        reason: string;
        /** Whether the endpoint received the request and rejected it. */
        arrived: boolean;
        head?: AnswerHead;
    }
    /** The endpoint may have run the request. */
    | {
        kind: "unknown";
        reason: string;
        /** Nothing came until the ingress itself gave up. */
        timedOut?: boolean;
    };

export interface AttemptInput {
    endpoint: Endpoint;
    method: string;
    target: string;
    headers: string[];
    body: Buffer;
    attemptId: string | undefined;
    /** Instant by which the head of the answer must be there. */
    headDeadline: number;
    /** Idle connections kept to the endpoint. */
    maxFree: number;
}

/** An unused answer that is longer than this closes its connection, in bytes. */
const discardLimitBytes = 65_536;
/** An unused answer that has not ended by then closes its connection, in milliseconds. */
const discardMs = 1_000;
/** Interim answers to one request; a sound endpoint sends one or two. */
const maxInterimAnswers = 8;

/** Reads a short answer to its end without using it, so that its connection can be kept. */
export function discardAnswer(res: IncomingMessage): void {
    let bytes = 0;
    const timer = setTimeout(() => res.destroy(), discardMs);
    // A cut in what nobody uses is no failure.
    res.on("error", () => undefined);
    res.on("close", () => clearTimeout(timer));
    res.on("data", (piece: Buffer) => {
        bytes += piece.length;
        if (bytes > discardLimitBytes) {
            res.destroy();
        }
    });
}

/** One send of a request to one endpoint, up to the head of the answer. */
export class Attempt {
    private readonly timers: Timer[] = [];
    private req: ClientRequest | undefined;
    private connected = false;
    private settled = false;
    private reset = false;
    private probe: Promise<boolean> | undefined;
    private res: IncomingMessage | undefined;

    constructor(
        private readonly input: AttemptInput,
        private readonly pool: EndpointPool,
        private readonly wire: HeaderCodec,
        private readonly clock: Clock,
    ) {}

    /** Resolves with what is known when the head of the answer came or the attempt failed. */
    run(): Promise<AttemptOutcome> {
        return new Promise(resolve => {
            const settle = (outcome: AttemptOutcome): void => {
                if (!this.settled) {
                    this.settled = true;
                    this.cancelTimers();
                    resolve(outcome);
                }
            };
            this.send(settle);
        });
    }

    /**
     * Whether the endpoint broke off, asked when the body has ended. An answer without a length ends with its
     * connection, and a reset that is read together with data is reported as a plain end; only a write tells the two
     * apart.
     */
    async broke(): Promise<boolean> {
        return this.reset || await (this.probe ?? false);
    }

    /** Ends the work at the endpoint by closing the connection. */
    abort(): void {
        this.cancelTimers();
        this.req?.destroy();
    }

    private send(settle: (outcome: AttemptOutcome) => void): void {
        const { endpoint, method, target, body, headDeadline, maxFree } = this.input;
        const headers = body.length > 0 || method === "POST" || method === "PUT" || method === "PATCH"
            ? [...this.input.headers, "Content-Length", String(body.length)]
            : this.input.headers;
        const req = request({ ...this.pool.requestOptions(endpoint, maxFree), method, path: target, headers });
        this.req = req;
        req.setNoDelay(true);
        req.on("socket", socket => {
            // Comes before the listener of Node.js, which closes the writing side.
            const onEnd = (): void => this.probeEnd(socket);
            socket.prependOnceListener("end", onEnd);
            req.once("close", () => socket.off("end", onEnd));
            if (!socket.connecting) {
                this.connected = true;
                return;
            }
            const timer = this.clock.schedule(connectDeadline(this.clock.now()), () => {
                settle({ kind: "not-run", reason: "connection not opened in time", arrived: false });
                req.destroy();
            });
            this.timers.push(timer);
            socket.once("connect", () => {
                timer.cancel();
                this.connected = true;
            });
        });
        this.timers.push(this.clock.schedule(headDeadline, () => {
            settle(
                this.connected
                    ? { kind: "unknown", reason: "no answer in time", timedOut: true }
                    : { kind: "not-run", reason: "connection not opened in time", arrived: false },
            );
            req.destroy();
            this.pool.closeIdleConnections(endpoint.id);
        }));
        req.on("error", (err: NodeJS.ErrnoException) => {
            this.reset = true;
            const reason = err.code ?? err.message;
            settle(
                this.connected
                    ? { kind: "unknown", reason: req.reusedSocket ? `${reason} on a kept connection` : reason }
                    : { kind: "not-run", reason, arrived: false },
            );
        });
        let interimAnswers = 0;
        req.on("information", () => {
            if (++interimAnswers > maxInterimAnswers) {
                settle({ kind: "unknown", reason: "interim answers without end" });
                req.destroy();
            }
        });
        req.on("upgrade", (res, socket) => {
            socket.destroy();
            settle({ kind: "unknown", reason: `unexpected status ${res.statusCode}` });
        });
        req.on("response", res => settle(this.judge(req, res)));
        req.end(body);
    }

    private probeEnd(socket: Socket): void {
        const headers = this.res?.headers;
        if (
            headers === undefined || headers["content-length"] !== undefined
            || headers["transfer-encoding"] !== undefined
        ) {
            return;
        }
        // An empty line means nothing to an endpoint, and this one has closed its side.
        this.probe = new Promise(resolve => {
            socket.write("\r\n", err => resolve(Boolean(err)));
        });
    }

    private judge(req: ClientRequest, res: IncomingMessage): AttemptOutcome {
        this.res = res;
        const status = res.statusCode ?? 0;
        const head = this.wire.decodeAnswerHead(status, res.headers);
        const refuse = (reason: string): AttemptOutcome => {
            res.on("error", () => undefined);
            req.destroy();
            return { kind: "unknown", reason };
        };
        if (this.input.attemptId !== undefined && head.attemptId !== this.input.attemptId) {
            return refuse("answer to another request");
        }
        if (head.notRun) {
            discardAnswer(res);
            return { kind: "not-run", reason: `status ${status}`, arrived: true, head };
        }
        if (status >= 200 && status < 300 && !head.sealed) {
            return refuse("success without a seal");
        }
        return { kind: "answer", res, head };
    }

    private cancelTimers(): void {
        for (const timer of this.timers) {
            timer.cancel();
        }
        this.timers.length = 0;
    }
}
