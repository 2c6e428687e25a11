import {
    bestChoice,
    type EndpointChoice,
    type InFlightRequest,
    type QueueOutcome,
    ServiceModel,
} from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import type { IncomingMessage } from "node:http";
import { AnswerWriter, type BodyEnd } from "./answer-writer.ts";
import { Attempt, type AttemptOutcome, discardAnswer } from "./attempt.ts";
import { CallRecord } from "./call-record.ts";
import type { AnswerHead } from "./platform-adapter.ts";
import { type AdmittedRequest, type RelayContext, sendRefusal } from "./relay.ts";
import { answerDeadline, patienceMs } from "./send-timing.ts";

/** Times the longest pause on time after which a resumable stream is continued elsewhere. */
const stalledPauses = 3;
const defaultPauseMs = 300;
/** Time after which a caller may come back when an endpoint refused, in milliseconds. */
const endpointRefusedReturnMs = 100;

interface Sent {
    attempt: Attempt;
    endpoint: Endpoint;
    booking: InFlightRequest;
    sentAt: number;
    /** Instant by which an answer must have begun. */
    firstBy: number;
    /** Instant from which silence is the endpoint's fault and not due to a short time-out of the route. */
    silentFrom: number;
    ended: boolean;
}

/** Relays one admitted request: waits for a place, sends, sends again where that is allowed, and answers. */
export class RelayedCall {
    private readonly excluded = new Set<string>();
    /** Endpoints that have or may have run the request. */
    private runs = 0;
    private current: Sent | undefined;
    private left = false;
    private finished = false;
    private withdraw: () => void = () => undefined;
    private readonly writer: AnswerWriter;
    private readonly record: CallRecord;
    private lastFailure = "";
    private outcome: "answered" | "refused" | "failed" | "cut" = "answered";
    /** The next send is already in the budget, or the last one never reached an endpoint. */
    private resendPaid = false;

    constructor(private readonly admitted: AdmittedRequest, private readonly ctx: RelayContext) {
        this.record = new CallRecord(admitted, ctx);
        this.writer = new AnswerWriter(admitted.res, () => ctx.isDraining());
    }

    private get repeatable(): boolean {
        const { execution, resumable } = this.admitted.route;
        return execution === "idempotent" || execution === "stream" && resumable && this.ctx.resumesStreams;
    }

    async run(): Promise<void> {
        const { res, dispatch } = this.admitted;
        const { clock } = this.ctx;
        res.once("close", () => {
            if (!this.finished && !res.writableFinished) {
                this.leave();
            }
        });
        const timer = clock.schedule(dispatch.deadline, () => this.onDeadline());
        this.ctx.retryBudget(dispatch.service).recordRequest(clock.now());
        try {
            await this.relay();
        }
        finally {
            timer.cancel();
            this.finished = true;
            this.record.done(this.left ? "left" : this.outcome, this.current?.endpoint.id, this.runs);
        }
    }

    private async relay(): Promise<void> {
        for (let first = true; !this.left; first = false) {
            const place = await this.place(first);
            if (place.kind === "left" || this.left) {
                return;
            }
            if (place.kind === "refuse") {
                this.giveUp(place.reason, place.retryAfterMs, place.best);
                return;
            }
            const sent = this.current;
            if (sent === undefined) {
                return;
            }
            const outcome = await sent.attempt.run();
            if (this.left) {
                this.onLateOutcome(sent, outcome);
                return;
            }
            const done = outcome.kind === "answer"
                ? await this.onAnswer(sent, outcome.res, outcome.head)
                : this.onFailure(sent, outcome);
            this.end(sent);
            if (done || this.left) {
                return;
            }
            const { dispatch, route } = this.admitted;
            const now = this.ctx.clock.now();
            const budgeted = this.resendPaid || this.ctx.retryBudget(dispatch.service).tryWithdraw(now);
            this.resendPaid = false;
            if (this.runs >= route.maxAttempts || !budgeted) {
                this.giveUp(this.lastFailure, endpointRefusedReturnMs);
                return;
            }
        }
    }

    /** Waits for a place. The load is booked in the same turn in which the place is chosen. */
    private place(first: boolean): Promise<QueueOutcome<Endpoint>> {
        const { admitted: { dispatch }, ctx, excluded } = this;
        const model = ctx.latencyModel(dispatch.service);
        return new Promise(resolve => {
            const settle = (outcome: QueueOutcome<Endpoint>): void => {
                if (outcome.kind === "send") {
                    this.book(outcome.choice);
                }
                resolve(outcome);
            };
            const candidates = (): readonly Endpoint[] => ctx.candidates(dispatch.service);
            if (!first) {
                // A request that was sent once goes on at once wherever there is an endpoint; its caller has waited.
                const choice = ctx.dispatcher.choose(dispatch, candidates(), model, ctx.clock.now(), excluded);
                settle(
                    choice === undefined
                        ? { kind: "refuse", reason: "no-endpoint", retryAfterMs: endpointRefusedReturnMs }
                        : { kind: "send", choice },
                );
                return;
            }
            let counted = false;
            this.withdraw = ctx.queue(dispatch.service).submit(dispatch, ahead => {
                const decision = ctx.dispatcher.decide(
                    dispatch,
                    candidates(),
                    model,
                    ctx.clock.now(),
                    excluded,
                    ahead,
                );
                if (!counted) {
                    counted = true;
                    this.record.demand(bestChoice(decision));
                }
                return decision;
            }, settle);
        });
    }

    private book(choice: EndpointChoice<Endpoint>): void {
        const { admitted, ctx } = this;
        const { endpoint, prediction } = choice;
        const now = ctx.clock.now();
        const { dispatch } = admitted;
        this.record.decided(choice, ctx.view.loads.load(endpoint.id, now).unreadTokens);
        const booking = ctx.view.loads.trackRequest(endpoint.id, prediction, now);
        ctx.view.health.recordDispatch(endpoint.id, now);
        const service = ctx.view.catalog?.services.get(dispatch.service);
        if (dispatch.work !== undefined && service?.engine !== undefined) {
            ctx.view.prefixMemory.record(endpoint.id, dispatch.work.parts, service.engine.kvCacheTokens, now);
        }
        const mayRepeat = this.repeatable && this.runs + 1 < admitted.route.maxAttempts;
        const firstBy = answerDeadline(admitted, prediction, now, mayRepeat);
        const attempt = new Attempt(
            {
                endpoint,
                method: admitted.req.method ?? "GET",
                target: admitted.req.url ?? "/",
                headers: ctx.headerCodec.encodeEndpointHeaders(admitted.req.rawHeaders, {
                    endpointId: endpoint.id,
                    workspace: admitted.workspace?.name,
                    timeLeftMs: Math.max(1, Math.floor(dispatch.deadline - now)),
                    lastEventId: this.writer.lastEventId,
                    enginePriority: service?.engine === undefined ? undefined : Math.min(9, dispatch.rank + 3),
                }),
                body: admitted.body,
                attemptId: admitted.head.attemptId,
                headDeadline: firstBy,
                maxFree: ctx.maxIdleConnections(dispatch.service),
            },
            ctx.pool,
            ctx.headerCodec,
            ctx.clock,
        );
        this.current = {
            attempt,
            endpoint,
            booking,
            sentAt: now,
            firstBy,
            silentFrom: now + patienceMs(prediction),
            ended: false,
        };
    }

    /** Accounts for a send that this ingress itself ended; its reset says nothing of the endpoint. */
    private onLateOutcome(sent: Sent, outcome: AttemptOutcome): void {
        if (outcome.kind === "answer") {
            discardAnswer(outcome.res);
            this.record.heard(sent.endpoint, outcome.head);
        }
        if (outcome.kind !== "not-run") {
            this.runs++;
            this.record.usage(sent.sentAt);
        }
        this.end(sent);
    }

    /** Returns whether the request is finished; otherwise it is to be sent again. */
    private onFailure(sent: Sent, outcome: Exclude<AttemptOutcome, { kind: "answer"; }>): boolean {
        this.lastFailure = outcome.reason;
        this.excluded.add(sent.endpoint.id);
        const rejected = outcome.kind === "not-run" && outcome.arrived;
        const ownTimeOut = outcome.kind === "unknown" && outcome.timedOut === true
            && this.ctx.clock.now() < sent.silentFrom;
        if (!rejected && !ownTimeOut) {
            this.record.health(sent.endpoint, "broken");
        }
        if (outcome.kind === "not-run" && outcome.head !== undefined) {
            this.record.heard(sent.endpoint, outcome.head);
        }
        this.resendPaid = outcome.kind === "not-run" && !outcome.arrived;
        this.record.sendFailed(sent, outcome.kind, outcome.reason);
        if (outcome.kind === "unknown") {
            this.runs++;
            this.record.usage(sent.sentAt);
            if (!this.repeatable) {
                this.giveUp(outcome.reason, undefined);
                return true;
            }
        }
        return false;
    }

    private async onAnswer(sent: Sent, res: IncomingMessage, head: AnswerHead): Promise<boolean> {
        const { route, dispatch } = this.admitted;
        this.record.heard(sent.endpoint, head);
        const { clock } = this.ctx;
        const status = res.statusCode ?? 0;
        this.runs++;
        if (route.execution !== "stream" || status !== 200) {
            this.record.usage(sent.sentAt);
        }
        if (this.writer.started && status !== 200) {
            // Nothing but the rest of the stream may follow what the caller already has.
            return this.onFailedContinuation(sent, res, status);
        }
        const serverError = status >= 500;
        const mayRepeat = this.repeatable && this.runs < route.maxAttempts
            && !this.writer.started;
        if (serverError && mayRepeat && this.ctx.retryBudget(dispatch.service).tryWithdraw(clock.now())) {
            discardAnswer(res);
            this.resendPaid = true;
            this.record.health(sent.endpoint, "error");
            this.excluded.add(sent.endpoint.id);
            this.record.sendFailed(sent, "failed", `status ${status}`);
            this.lastFailure = `status ${status}`;
            return false;
        }
        if (!this.repeatable && (status === 503 || status === 429 || status === 408 || status === 421)) {
            // These statuses promise that the request has not run, and the endpoint has not said so.
            discardAnswer(res);
            this.giveUp(`status ${status} without a statement that the request has not run`, undefined);
            return true;
        }
        const end = await this.relayBody(sent, res, status);
        if (end !== "left") {
            this.record.health(sent.endpoint, end !== "complete" ? "broken" : serverError ? "error" : "answered");
        }
        if (end === "complete") {
            this.ctx.metrics.count("sends", 1, { outcome: "answered" });
            const model = this.ctx.latencyModel(dispatch.service);
            if (model instanceof ServiceModel && !serverError) {
                model.observe(clock.now() - sent.sentAt);
            }
            return true;
        }
        if (end === "left") {
            return true;
        }
        this.excluded.add(sent.endpoint.id);
        this.lastFailure = `answer ${end}`;
        this.record.sendFailed(sent, "cut", end);
        // What the caller has got can be continued only after a whole event.
        const continuable = !this.writer.started || route.execution === "stream" && route.resumable;
        if (continuable && this.repeatable && this.runs < route.maxAttempts) {
            return false;
        }
        this.giveUp(this.lastFailure, undefined);
        return true;
    }

    /** Drops an answer that does not continue a cut stream; returns whether the request is finished. */
    private onFailedContinuation(sent: Sent, res: IncomingMessage, status: number): boolean {
        discardAnswer(res);
        this.excluded.add(sent.endpoint.id);
        this.lastFailure = `status ${status}`;
        this.record.health(sent.endpoint, status >= 500 ? "error" : "answered");
        this.record.sendFailed(sent, "failed", this.lastFailure);
        if (this.runs < this.admitted.route.maxAttempts) {
            return false;
        }
        this.giveUp(this.lastFailure, undefined);
        return true;
    }

    private async relayBody(sent: Sent, res: IncomingMessage, status: number): Promise<BodyEnd> {
        const { route } = this.admitted;
        const broke = (): Promise<boolean> => sent.attempt.broke();
        if (route.execution !== "stream" || status !== 200) {
            return await this.writer.whole(res, broke);
        }
        const onFirst = (): void => {
            this.record.firstByte();
            this.start(sent);
            this.record.usage(this.ctx.clock.now());
        };
        const end = route.resumable
            ? await this.writer.events(res, {
                clock: this.ctx.clock,
                firstBy: sent.firstBy,
                stallMs: (route.gapTargetMs ?? defaultPauseMs) * stalledPauses,
                broke,
                onFirst,
            })
            : await this.writer.stream(res, broke, onFirst);
        if (end !== "complete") {
            sent.attempt.abort();
        }
        return end;
    }

    private start(sent: Sent): void {
        sent.booking.recordFirstByte(this.ctx.clock.now());
        this.ctx.queue(this.admitted.dispatch.service).reevaluate();
    }

    private end(sent: Sent): void {
        if (!sent.ended) {
            sent.ended = true;
            sent.booking.recordEnd();
            this.ctx.queue(this.admitted.dispatch.service).reevaluate();
        }
    }

    private leave(): void {
        this.left = true;
        this.withdraw();
        const sent = this.current;
        if (sent !== undefined && !sent.ended) {
            sent.attempt.abort();
            this.end(sent);
        }
        this.writer.abandon();
    }

    private onDeadline(): void {
        const sent = this.current;
        const now = this.ctx.clock.now();
        if (sent !== undefined && !sent.ended && !this.writer.started && now >= sent.silentFrom) {
            this.record.health(sent.endpoint, "broken");
            this.record.sendFailed(sent, "unknown", "no answer before the deadline");
        }
        this.giveUp("time is up", undefined);
        this.leave();
    }

    /** Sends the final answer. What was never run, or is proved not to have run, may come back. */
    private giveUp(reason: string, retryAfterMs: number | undefined, best?: EndpointChoice<Endpoint>): void {
        const { res, workspace, units } = this.admitted;
        const notRun = this.runs === 0
            && (this.current === undefined || this.current.ended || retryAfterMs !== undefined);
        this.record.gaveUp(reason, this.runs, best);
        this.finished = true;
        this.outcome = this.writer.started ? "cut" : notRun ? "refused" : "failed";
        if (this.writer.started) {
            res.destroy();
            return;
        }
        if (notRun) {
            if (workspace !== undefined) {
                this.ctx.view.caps.refund(workspace, units);
            }
            sendRefusal(res, 503, reason, retryAfterMs ?? endpointRefusedReturnMs, this.ctx.isDraining());
            return;
        }
        sendRefusal(res, reason === "time is up" ? 504 : 502, reason, undefined, this.ctx.isDraining());
    }
}
