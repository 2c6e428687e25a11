import { bodyFields, lengthFields, stripHopByHopHeaders } from "@lentilramp/exchange";
import { discardResponse, isFinalStatus, probeForReset } from "@lentilramp/protocol";
import type { Timer } from "@lentilramp/runtime";
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { AdmittedRequest } from "./admission.ts";
import { describeError } from "./call-recorder.ts";
import { EventScanner } from "./event-splitter.ts";
import type { Peer } from "./peer-selection.ts";
import { answerClosedCaller, breakOffAnswer, internalErrorReason, sendRefusal } from "./refusal.ts";
import type { RelayContext } from "./relay-context.ts";
import { connectDeadline } from "./send-timing.ts";

/** Header of a request that a peer has forwarded. It is named in `Connection`, so that it never reaches an endpoint. */
const forwardedHeader = "x-lentilramp-forwarded";
/** Peers that are asked for one request. */
const maxPeers = 3;
/** Retry delay of a caller whose request no peer has taken, in milliseconds. */
const noPeerRetryMs = 300;

/** Whether a peer has forwarded the request; such a one is not forwarded again. */
export function isForwarded(req: IncomingMessage): boolean {
    return req.headers[forwardedHeader] !== undefined;
}

/** What came of an attempt at a peer: its answer has ended one way or the other, or another peer may be asked. */
type PeerOutcome = { kind: "ended"; } | { kind: "not-run" | "unknown"; reason: string; retryAfter?: string; };

/**
 * Forwards one request to peers, one hop at most, when no endpoint can be reached from here. The peer admits it as a
 * request of its own: caps, retry budgets, permits, usage and verdicts are counted there and nowhere else.
 */
export class PeerCall {
    private req: ClientRequest | undefined;
    private peerRes: IncomingMessage | undefined;
    private timer: Timer | undefined;
    /** Whether nothing more is to be done for the caller. */
    private finished = false;
    /** Whether a peer may have taken the request. */
    private sent = false;
    private wake: () => void = () => undefined;

    constructor(
        private readonly admitted: AdmittedRequest,
        private readonly ctx: RelayContext,
        private readonly peers: readonly Peer[],
    ) {}

    /** Resolves when the caller has what it is owed, or has left. */
    async run(): Promise<void> {
        const { res, dispatch, workspace, units } = this.admitted;
        const { clock, connections, stop, view } = this.ctx;
        if (workspace !== undefined) {
            view.caps.refund(workspace, units);
        }
        const onLeft = (): void => this.leave();
        res.once("close", onLeft);
        connections.onCallerEnd(res, onLeft);
        this.timer = clock.schedule(dispatch.deadline, () => this.giveUp("time is up"));
        const cancelStopNotice = stop.onAnswersDue(() => res.headersSent || this.giveUp("stopping"));
        try {
            await this.askPeers();
        }
        finally {
            this.timer.cancel();
            cancelStopNotice();
            this.finished = true;
        }
    }

    private async askPeers(): Promise<void> {
        let last: Exclude<PeerOutcome, { kind: "ended"; }> = { kind: "not-run", reason: "no peer" };
        for (const peer of this.peers.slice(0, maxPeers)) {
            const outcome = await this.ask(peer);
            if (outcome.kind === "ended" || this.finished) {
                return;
            }
            this.log("request.not-forwarded", peer, { outcome: outcome.kind, reason: outcome.reason });
            last = outcome;
            if (outcome.kind === "unknown" && !this.mayRepeat) {
                break;
            }
        }
        const retryMs = Number(last.retryAfter) * 1_000;
        this.giveUp(last.reason, Number.isFinite(retryMs) ? retryMs : noPeerRetryMs);
    }

    private get mayRepeat(): boolean {
        const { execution, resumable } = this.admitted.route;
        return execution === "idempotent" || execution === "stream" && resumable;
    }

    /** Sends the request to a peer, and relays its answer unless another peer may be asked. */
    private ask(peer: Peer): Promise<PeerOutcome> {
        const { req: callerReq, body, dispatch } = this.admitted;
        const { clock, headerCodec } = this.ctx;
        return new Promise(resolve => {
            this.wake = () => resolve({ kind: "ended" });
            const timeLeftMs = Math.max(1, Math.floor(dispatch.deadline - clock.now()));
            const headers = [
                ...headerCodec.encodePeerHeaders(callerReq.rawHeaders, timeLeftMs),
                forwardedHeader,
                "1",
                "Connection",
                `close, ${forwardedHeader}`,
                "Content-Length",
                String(body.length),
            ];
            const { host, port } = peer;
            const { method, url: path } = callerReq;
            let connected = false;
            let connectTimer: Timer | undefined;
            const req = request({ host, port, method, path, headers, agent: false });
            this.req = req;
            req.setNoDelay(true);
            req.on("socket", socket => {
                // Timers run before sockets are read: after a pause of this process, the connection may be open already.
                connectTimer = clock.schedule(connectDeadline(clock.now()), () =>
                    setImmediate(() => {
                        if (!connected) {
                            req.destroy();
                        }
                    }));
                socket.once("connect", () => {
                    connectTimer?.cancel();
                    connected = true;
                    this.sent = true;
                });
            });
            req.on("error", (err: NodeJS.ErrnoException) => {
                connectTimer?.cancel();
                resolve({ kind: connected ? "unknown" : "not-run", reason: err.code ?? err.message });
            });
            req.on("close", () => {
                connectTimer?.cancel();
                if (this.peerRes === undefined) {
                    resolve({ kind: connected ? "unknown" : "not-run", reason: "closed by the peer" });
                }
            });
            req.on("response", res => {
                if (!isFinalStatus(res.statusCode)) {
                    res.on("error", () => undefined);
                    req.destroy();
                    resolve({ kind: "unknown", reason: `unexpected status ${res.statusCode}` });
                    return;
                }
                // Only the peer itself refuses without the seal of an endpoint, and what it refuses has not run.
                const { sealed } = headerCodec.decodeAnswerHead(res.statusCode ?? 0, res.headers);
                if (res.statusCode === 503 && !sealed) {
                    discardResponse(res);
                    this.sent = false;
                    resolve({ kind: "not-run", reason: "refused by the peer", retryAfter: res.headers["retry-after"] });
                    return;
                }
                this.log("request.forwarded", peer, { status: res.statusCode });
                this.peerRes = res;
                this.relay(res).catch((err: unknown) => this.onInternalError(err)).finally(() =>
                    resolve({ kind: "ended" })
                );
            });
            req.end(body);
        });
    }

    /** Passes an answer on as it comes; resolves when it has ended. */
    private async relay(peerRes: IncomingMessage): Promise<void> {
        const { res, caller, route } = this.admitted;
        const wasCut = probeForReset(peerRes);
        // A peer of an earlier version may state a length that is not that of the stream.
        const events = route.execution === "stream" && peerRes.statusCode === 200 ? new EventScanner() : undefined;
        const excluded = events && (route.resumable ? bodyFields : lengthFields);
        const headers = stripHopByHopHeaders(peerRes.rawHeaders, excluded);
        if (this.ctx.connections.closesAfter(res)) {
            headers.push("Connection", "close");
        }
        res.writeHead(peerRes.statusCode ?? 502, peerRes.statusMessage ?? "", headers);
        await new Promise<void>(resolve => {
            peerRes.on("data", (data: Buffer) => {
                caller.recordWrite();
                events?.scan(data);
                if (!res.write(data)) {
                    peerRes.pause();
                    res.once("drain", () => peerRes.resume());
                }
            });
            peerRes.on("error", () => undefined);
            peerRes.on("close", () =>
                void wasCut().then(cut => {
                    if (!this.finished) {
                        this.finished = true;
                        if (peerRes.complete && !cut && events?.insideEvent !== true) {
                            res.end();
                        }
                        else {
                            caller.recordCut("endpoint-cut", { reason: "cut by the peer" });
                            breakOffAnswer(res);
                        }
                    }
                    resolve();
                }));
        });
    }

    private onInternalError(err: unknown): void {
        this.ctx.log.error("request.broken", { id: this.admitted.dispatch.id, error: describeError(err) });
        this.giveUp(internalErrorReason);
    }

    /** Ends the work for a caller that has closed its connection, or its sending side. */
    private leave(): void {
        const { res } = this.admitted;
        if (this.finished || res.writableEnded) {
            return;
        }
        this.stop();
        answerClosedCaller(res, this.sent, this.ctx.connections.closesAfter(res));
    }

    /** Ends the request without the answer of a peer. */
    private giveUp(reason: string, retryMs = noPeerRetryMs): void {
        const { res, caller } = this.admitted;
        if (this.finished) {
            return;
        }
        this.stop();
        if (res.headersSent) {
            caller.recordCut(reason === "time is up" ? "deadline" : "error", { reason });
            breakOffAnswer(res);
            return;
        }
        const status = !this.sent ? 503 : reason === "time is up" ? 504 : 502;
        const close = this.ctx.connections.closesAfter(res);
        sendRefusal(res, status, reason, status === 503 ? retryMs : undefined, close);
        this.ctx.log.info("request.given-up", {
            id: this.admitted.dispatch.id,
            service: this.admitted.dispatch.service,
            reason,
            forwarded: true,
        });
    }

    private stop(): void {
        this.finished = true;
        this.req?.destroy();
        this.wake();
    }

    private log(
        name: string,
        { name: peer }: Peer,
        fields: Readonly<Record<string, string | number | undefined>>,
    ): void {
        this.ctx.log.info(name, { id: this.admitted.dispatch.id, peer, ...fields });
    }
}
