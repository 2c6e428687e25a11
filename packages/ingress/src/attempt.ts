import { type AnswerHead, hasInvalidHeaderName, type HeaderCodec } from "@lentilramp/exchange";
import type { Endpoint } from "@lentilramp/fleet";
import { discardResponse, isFinalStatus, probeForReset } from "@lentilramp/protocol";
import type { Clock, Timer } from "@lentilramp/runtime";
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { EndpointPool } from "./endpoint-pool.ts";
import { connectDeadline } from "./send-timing.ts";
import { SilenceWatch } from "./silence-watch.ts";

export type AttemptOutcome =
    | { kind: "answer"; res: IncomingMessage; head: AnswerHead; }
    /** It is certain that the endpoint has not run the request and will not run it. */
    | {
        kind: "not-run";
        reason: string;
        /** Whether the endpoint received the request and rejected it. */
        received: boolean;
        /** Whether the request cannot be written, which is not the endpoint's fault. */
        unsendable?: boolean;
        head?: AnswerHead;
    }
    /** The endpoint may have run the request. */
    | {
        kind: "unknown";
        reason: string;
    };

export interface AttemptInput {
    endpoint: Endpoint;
    method: string;
    target: string;
    headers: string[];
    body: Buffer;
    attemptId: string | undefined;
    /** Instant by which the head of the answer is expected. */
    headExpectedBy: number;
    /** Whether another attempt can be made now instead of one whose answer is overdue. */
    tryReplace: () => boolean;
    /** Number of idle connections to the endpoint that the pool keeps. */
    maxIdleConnections: number;
}

/** What is known of an attempt: its outcome, or that its answer is overdue and another attempt is made now. */
export type AttemptProgress = AttemptOutcome | { kind: "silent"; };

/** Largest number of interim (1xx) answers to one request; a healthy endpoint sends one or two. */
const maxInterimAnswers = 8;

/** One attempt to send a request to an endpoint, up to the head of the answer. */
export class Attempt {
    private connectTimer: Timer | undefined;
    private readonly silence: SilenceWatch;
    private req: ClientRequest | undefined;
    private connected = false;
    private outcome: AttemptOutcome | undefined;
    private report: (progress: AttemptProgress) => void = () => undefined;
    private connectionFailed = false;
    private resetProbe: (() => Promise<boolean>) | undefined;

    constructor(
        private readonly input: AttemptInput,
        private readonly pool: EndpointPool,
        private readonly headerCodec: HeaderCodec,
        private readonly clock: Clock,
    ) {
        this.silence = new SilenceWatch(clock, input.tryReplace, () => {
            this.report({ kind: "silent" });
            pool.closeIdleConnections(input.endpoint.id);
        });
    }

    /** Sends the request; resolves when the head of the answer has arrived, or the attempt has failed or is silent. */
    run(): Promise<AttemptProgress> {
        const progress = this.wait(this.input.headExpectedBy);
        this.send();
        return progress;
    }

    /** Waits on for the head of an answer that is expected by the instant `expectedBy`. */
    wait(expectedBy: number): Promise<AttemptProgress> {
        return new Promise(resolve => {
            if (this.outcome !== undefined) {
                resolve(this.outcome);
                return;
            }
            this.report = resolve;
            this.silence.expectBy(expectedBy);
        });
    }

    /** Whether an answer has begun. */
    get hasProgress(): boolean {
        return this.outcome?.kind === "answer";
    }

    /** Whether it is certain by now that the endpoint has not run the request and will not run it. */
    get hasNotRun(): boolean {
        return this.outcome?.kind === "not-run";
    }

    /** Whether the attempt has ended without an answer. */
    get isBroken(): boolean {
        return this.outcome !== undefined && this.outcome.kind !== "answer";
    }

    private settle(outcome: AttemptOutcome): void {
        if (this.outcome === undefined) {
            this.outcome = outcome;
            this.cancelTimers();
            this.report(outcome);
        }
    }

    /** Resolves with whether the endpoint cut the body; called when the body has ended. */
    async wasCut(): Promise<boolean> {
        return this.connectionFailed || (await this.resetProbe?.() ?? false);
    }

    /** Closes the connection, which makes the endpoint cancel the request. */
    abort(): void {
        this.cancelTimers();
        this.req?.destroy();
    }

    private send(): void {
        const { endpoint, method, target, body, maxIdleConnections } = this.input;
        const headers = body.length > 0 || method === "POST" || method === "PUT" || method === "PATCH"
            ? [...this.input.headers, "Content-Length", String(body.length)]
            : this.input.headers;
        let req: ClientRequest;
        try {
            const options = this.pool.requestOptions(endpoint, maxIdleConnections);
            req = request({ ...options, method, path: target, headers });
        }
        catch (err) {
            // Node.js throws for an address or a head that cannot be sent, before it opens a connection.
            this.settle({
                kind: "not-run",
                reason: `cannot be sent: ${String(err)}`,
                received: false,
                unsendable: true,
            });
            return;
        }
        this.req = req;
        req.setNoDelay(true);
        req.on("socket", socket => {
            if (!socket.connecting) {
                this.connected = true;
                return;
            }
            // Timers run before sockets are read: after a pause of this process, the connection may be open already.
            this.connectTimer = this.clock.schedule(connectDeadline(this.clock.now()), () =>
                setImmediate(() => {
                    if (!this.connected) {
                        this.settle({ kind: "not-run", reason: "connection not opened in time", received: false });
                        req.destroy();
                    }
                }));
            socket.once("connect", () => {
                this.connectTimer?.cancel();
                this.connected = true;
            });
        });
        req.on("error", (err: NodeJS.ErrnoException) => {
            this.connectionFailed = true;
            const reason = err.code ?? err.message;
            this.settle(
                this.connected
                    ? { kind: "unknown", reason: req.reusedSocket ? `${reason} on a kept connection` : reason }
                    : { kind: "not-run", reason, received: false },
            );
        });
        let interimAnswers = 0;
        req.on("information", () => {
            if (++interimAnswers > maxInterimAnswers) {
                this.settle({ kind: "unknown", reason: "interim answers without end" });
                req.destroy();
            }
        });
        req.on("upgrade", (res, socket) => {
            socket.destroy();
            this.settle({ kind: "unknown", reason: `unexpected status ${res.statusCode}` });
        });
        req.on("response", res => this.settle(this.classifyAnswer(req, res)));
        req.end(body);
    }

    private classifyAnswer(req: ClientRequest, res: IncomingMessage): AttemptOutcome {
        this.resetProbe = probeForReset(res);
        const status = res.statusCode ?? 0;
        const head = this.headerCodec.decodeAnswerHead(status, res.headers);
        const reject = (reason: string): AttemptOutcome => {
            res.on("error", () => undefined);
            req.destroy();
            return { kind: "unknown", reason };
        };
        if (!isFinalStatus(status)) {
            return reject(`unexpected status ${status}`);
        }
        // Releases of Node.js differ in whether their parser reports such a head as an error.
        if (hasInvalidHeaderName(res.rawHeaders)) {
            return reject("invalid header name");
        }
        if (this.input.attemptId !== undefined && head.attemptId !== this.input.attemptId) {
            return reject("answer to another request");
        }
        if (head.notRun) {
            discardResponse(res);
            return { kind: "not-run", reason: `status ${status}`, received: true, head };
        }
        if (status >= 200 && status < 300 && !head.sealed) {
            return reject("success without a seal");
        }
        return { kind: "answer", res, head };
    }

    private cancelTimers(): void {
        this.connectTimer?.cancel();
        this.silence.cancel();
    }
}
