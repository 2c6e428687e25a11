import { type EndpointChoice, ServiceModel } from "@lentilramp/dispatch";
import { type Endpoint, versionOf } from "@lentilramp/fleet";
import { CallerPresence, discardResponse } from "@lentilramp/protocol";
import type { IncomingMessage } from "node:http";
import type { AdmittedRequest } from "./admission.ts";
import { AnswerWriter } from "./answer-writer.ts";
import { AttemptFailures } from "./attempt-failures.ts";
import type { AttemptOutcome, AttemptProgress } from "./attempt.ts";
import type { BodyEnd } from "./body-reader.ts";
import { BodyRelay } from "./body-relay.ts";
import { type CallOutcome, CallRecorder } from "./call-recorder.ts";
import { endpointRefusedRetryMs, EndpointSelection } from "./endpoint-selection.ts";
import { createAttempt, type InFlightAttempt } from "./in-flight-attempt.ts";
import { PeerCall } from "./peer-call.ts";
import type { AnswerHead } from "./platform-adapter.ts";
import { PromptOutcome } from "./prompt-outcome.ts";
import { answerClosedCaller, breakOffAnswer, internalErrorReason, sendRefusal } from "./refusal.ts";
import type { RelayContext } from "./relay.ts";
import { DeadlineWatch } from "./request-deadline.ts";
import { RetryAllowance } from "./retry-allowance.ts";
import { recordOrigin } from "./stream-take-up.ts";

/** Interval at which a begun stream looks for an endpoint that can resume it, in milliseconds. */
const resumeCheckIntervalMs = 50;

/** Relays one admitted request: waits for a slot, sends the request, retries where that is allowed, and answers. */
export class RelayedCall {
    private currentAttempt: InFlightAttempt | undefined;
    private readonly deadline: DeadlineWatch;
    /** Whether nothing more is to be done for the caller. */
    private stopped = false;
    private finished = false;
    private readonly selection: EndpointSelection;
    private readonly writer: AnswerWriter;
    private readonly bodies: BodyRelay;
    private readonly caller: CallerPresence;
    private readonly recorder: CallRecorder;
    private readonly prompt: PromptOutcome;
    private readonly retries: RetryAllowance;
    private readonly failures: AttemptFailures;
    private outcome: CallOutcome = "answered";

    constructor(private readonly admitted: AdmittedRequest, private readonly ctx: RelayContext) {
        this.recorder = new CallRecorder(admitted, ctx);
        this.caller = new CallerPresence(admitted.req, admitted.res, ctx.pollBarrier);
        this.prompt = new PromptOutcome(admitted, ctx);
        this.retries = new RetryAllowance(admitted, ctx, this.prompt);
        this.writer = new AnswerWriter(
            admitted.res,
            () => ctx.connections.closesAfter(admitted.res),
            () => admitted.caller.recordWrite(),
            ctx.readScheduler,
        );
        this.bodies = new BodyRelay(admitted, ctx, this.writer, {
            onFirstChunk: () => this.onFirstChunk(),
            onBegin: ({ endpoint }) => {
                this.selection.requireVersion(versionOf(endpoint));
                recordOrigin(admitted, endpoint, ctx.view);
            },
            onEventBegun: () => this.retries.tryReserve(),
            onProgress: () => this.retries.releaseReserve(),
            tryReplace: ({ endpoint }) => this.tryReplace(endpoint),
            onRestEnd: (inFlight, end) => this.afterAttempt(inFlight, this.onBodyEnd(inFlight, end, 200)),
        });
        this.recorder.describeCuts(() => ({
            runs: this.runs,
            endpoint: this.currentAttempt?.endpoint.id,
            noRetry: this.retries.refusal,
        }));
        this.selection = new EndpointSelection(admitted, ctx, {
            onFirstDecision: best => this.recorder.recordDemand(best),
            onChoice: choice => this.prepareAttempt(choice),
        }, () => this.bodies.parked.endpoints);
        const onDeadline = (): void => this.guard(() => this.onDeadline(), undefined);
        this.deadline = new DeadlineWatch(admitted, ctx, () => this.writer.started, onDeadline);
        const { recorder, selection, prompt, retries } = this;
        this.failures = new AttemptFailures({
            recorder,
            selection,
            prompt,
            retries,
            clock: ctx.clock,
            reach: ctx.reach,
        });
    }

    /** Number of endpoints that ran or may have run the request. */
    private get runs(): number {
        return this.failures.runs;
    }

    async run(): Promise<void> {
        const { res, dispatch } = this.admitted;
        const onLeft = (): void =>
            this.finished || res.writableEnded ? undefined : this.guard(() => this.leave(), undefined);
        res.once("close", onLeft);
        this.ctx.connections.onCallerEnd(res, onLeft);
        this.deadline.start();
        const cancelStopNotice = this.ctx.stop.onAnswersDue(() => this.guard(() => this.onStopEnd(), undefined));
        this.ctx.retryBudget(dispatch.service).recordRequest(this.ctx.clock.now());
        try {
            await this.relay();
            if (!this.finished && !res.writableEnded && !res.destroyed) {
                throw new Error("the request ended without an answer while its caller is there");
            }
        }
        catch (err) {
            this.onInternalError(err);
        }
        finally {
            this.deadline.cancel();
            cancelStopNotice();
            this.bodies.parked.closeAll();
            this.retries.releaseReserve();
            this.finished = true;
            this.recorder.recordOutcome(this.outcome, this.currentAttempt?.endpoint.id, this.runs);
        }
    }

    private async relay(): Promise<void> {
        for (let isFirstAttempt = true; !this.stopped; isFirstAttempt = false) {
            if (!await this.callerStays() || this.ctx.reach.isCutOff && await this.forward()) {
                return;
            }
            const slot = isFirstAttempt
                ? await this.selection.selectFirst()
                : this.selection.selectAnother({
                    mayHaveRun: this.runs > 0,
                    mayAskOther: this.runs < this.admitted.route.maxAttempts,
                });
            if (slot.kind === "left" || this.stopped) {
                return;
            }
            if (slot.kind === "refuse") {
                if (await this.waitToResume()) {
                    continue;
                }
                if (
                    this.stopped || slot.reason === "no-endpoint" && await this.forward()
                    || await this.returnOrEnd(() => this.giveUp(slot.reason, slot.retryAfterMs, slot.best))
                ) {
                    return;
                }
                continue;
            }
            const inFlight = this.currentAttempt;
            const hasWaited = isFirstAttempt && this.selection.hasWaited(this.ctx.clock.now());
            if (inFlight === undefined || hasWaited && !await this.callerStays()) {
                return;
            }
            inFlight.sent = true;
            if (await this.onAttemptProgress(inFlight, await inFlight.attempt.run())) {
                return;
            }
        }
    }

    /** Handles what is known of an attempt; resolves with whether the request is finished, otherwise another is made. */
    private async onAttemptProgress(inFlight: InFlightAttempt, progress: AttemptProgress): Promise<boolean> {
        if (progress.kind === "silent") {
            this.onSilence(inFlight);
            return await this.afterAttempt(inFlight, this.stopped);
        }
        if (this.stopped) {
            this.failures.recordAbandoned(inFlight, progress);
            this.bodies.releaseSlot(inFlight);
            return true;
        }
        const finished = progress.kind === "answer"
            ? await this.onAnswer(inFlight, progress.res, progress.head)
            : this.onFailure(inFlight, progress);
        return await this.afterAttempt(inFlight, finished);
    }

    /** Decides what follows an attempt; resolves with whether the request is finished, otherwise another is made. */
    private async afterAttempt(inFlight: InFlightAttempt, finished: boolean): Promise<boolean> {
        this.bodies.releaseSlot(inFlight);
        if (finished || this.stopped) {
            return true;
        }
        do {
            if (!this.bodies.parked.hasProgress && this.retries.payForNext(this.runs, this.selection)) {
                return false;
            }
        }
        while (this.retries.refusal === "budget" && await this.waitToResume());
        return this.stopped || await this.returnOrEnd(() => this.giveUpRetries());
    }

    /**
     * Waits before another attempt to resume a stream that this ingress has left at an endpoint that was only silent.
     * Resolves with false if there is no such stream, or nothing more is to be done.
     */
    private async waitToResume(): Promise<boolean> {
        const { selection, failures, bodies } = this;
        if (!this.writer.started || !failures.hasLeftStream || !bodies.parked.isEmpty || !selection.hasReadyVersion) {
            return false;
        }
        await this.ctx.clock.sleepUntil(this.ctx.clock.now() + resumeCheckIntervalMs);
        return !this.stopped;
    }

    /**
     * Forwards a request to a peer if no connection to an endpoint could be opened and none has run it. Resolves with
     * whether that was possible; the request is finished then.
     */
    private async forward(): Promise<boolean> {
        const { admitted, ctx, failures } = this;
        const isUnreached = failures.hasUnreached && failures.runs === 0 && this.bodies.parked.isEmpty;
        const peers = isUnreached ? ctx.peersFor(admitted.req) : [];
        if (peers.length === 0) {
            return false;
        }
        this.finished = true;
        this.stopped = true;
        this.outcome = "forwarded";
        this.deadline.cancel();
        await new PeerCall(admitted, ctx, peers).run();
        return true;
    }

    private giveUpRetries(): void {
        const { lastReason } = this.failures;
        const mayCrash = this.retries.mayCrash(this.runs);
        const reason = mayCrash ? `${lastReason}, and its prompt may crash another endpoint` : lastReason;
        this.giveUp(reason, mayCrash ? undefined : endpointRefusedRetryMs);
    }

    /** Goes on with a parked attempt, and otherwise gives up; resolves as `afterAttempt` does. */
    private async returnOrEnd(giveUp: () => void): Promise<boolean> {
        const parked = this.bodies.parked.takeBack(this.selection.isOfVersion);
        if (parked === undefined) {
            giveUp();
            return true;
        }
        this.currentAttempt = parked.inFlight;
        this.recorder.recordTakenBack(parked.inFlight, this.failures.lastReason, parked.progress);
        return await parked.goOn();
    }

    private prepareAttempt(choice: EndpointChoice<Endpoint>): void {
        const { admitted, ctx } = this;
        const { endpoint } = choice;
        const now = ctx.clock.now();
        this.recorder.recordLimitedSend(endpoint, this.sendPath(now));
        this.recorder.recordDecision(choice, ctx.view.loads.load(endpoint.id, now).unreadTokens);
        this.currentAttempt = createAttempt(admitted, ctx, choice, {
            lastEventId: this.writer.lastEventId,
            tryReplace: () => this.tryReplace(endpoint),
        });
    }

    /** Whether a parked attempt, or a new one, takes over now from one that is silent. */
    private tryReplace(silent: Endpoint): boolean {
        const { bodies: { keptMs, parked }, failures, retries, selection } = this;
        const runs = failures.runsWith(silent.id);
        return this.guard(
            () => parked.hasProgress || retries.payForReplacement(silent, runs, selection, keptMs !== Infinity),
            false,
        );
    }

    private sendPath(now: number): "arrival" | "queue" | "retry" | "resumption" {
        if (this.currentAttempt !== undefined) {
            return this.writer.started ? "resumption" : "retry";
        }
        return this.selection.hasWaited(now) ? "queue" : "arrival";
    }

    /** Parks an attempt whose answer is overdue. */
    private onSilence(inFlight: InFlightAttempt): void {
        const { attempt } = inFlight;
        this.failures.recordSilence(inFlight);
        this.bodies.park(
            inFlight,
            attempt,
            async () => await this.onAttemptProgress(inFlight, await attempt.wait(this.ctx.clock.now())),
        );
    }

    /** Handles a failed attempt; returns whether the request is finished, otherwise it may be retried. */
    private onFailure(inFlight: InFlightAttempt, outcome: Exclude<AttemptOutcome, { kind: "answer"; }>): boolean {
        this.failures.recordFailure(inFlight, outcome);
        if (outcome.kind === "unknown" && !this.retries.isRetryable) {
            this.giveUp(outcome.reason, undefined);
            return true;
        }
        return false;
    }

    private async onAnswer(inFlight: InFlightAttempt, res: IncomingMessage, head: AnswerHead): Promise<boolean> {
        const { route } = this.admitted;
        this.recorder.applyAnswerHead(inFlight.endpoint, head, inFlight.sentAt);
        const status = res.statusCode ?? 0;
        this.failures.recordRun(inFlight.endpoint.id);
        if (route.execution !== "stream" || status !== 200) {
            this.recorder.recordUsage(inFlight.sentAt);
        }
        const isOnlyRest = this.writer.started
            || !this.bodies.parked.isEmpty && (route.execution === "stream" || status >= 500);
        if (isOnlyRest && status !== 200) {
            // Only the rest of a stream may follow its events, and a parked attempt may still succeed.
            this.failures.discardAnswer(inFlight, res, status);
            return false;
        }
        if (status >= 500 && !this.writer.started && this.retries.payAfterError(this.runs, this.selection)) {
            this.failures.discardAnswer(inFlight, res, status);
            return false;
        }
        if (!this.retries.isRetryable && (status === 503 || status === 429 || status === 408 || status === 421)) {
            // These statuses imply to callers that the request has not run, which the endpoint has not stated.
            discardResponse(res);
            this.giveUp(`status ${status} without a statement that the request has not run`, undefined);
            return true;
        }
        return this.onBodyEnd(inFlight, await this.bodies.relay(inFlight, res, status), status);
    }

    /** Handles the end of an answer's body; returns whether the request is finished. */
    private onBodyEnd(inFlight: InFlightAttempt, end: BodyEnd, status: number): boolean {
        const { route, dispatch } = this.admitted;
        const { clock } = this.ctx;
        const serverError = status >= 500;
        this.prompt.onAnswerEnd(inFlight.endpoint, end, status);
        const isTimeUp = end === "cut" && this.deadline.hasMoreTimeThan(inFlight.stopsAt);
        if (end !== "left" && !isTimeUp) {
            this.recorder.recordHealth(
                inFlight.endpoint,
                end !== "complete" ? "broken" : serverError ? "error" : "answered",
            );
        }
        if (end === "complete") {
            this.ctx.metrics.count("sends", 1, { outcome: "answered" });
            const model = this.ctx.latencyModel(dispatch.service);
            if (model instanceof ServiceModel && !serverError) {
                model.observe(clock.now() - inFlight.sentAt);
            }
            return true;
        }
        if (end === "left") {
            return true;
        }
        this.failures.recordBrokenBody(inFlight, end, isTimeUp);
        // An answer that has been partly sent can be continued only after a complete event.
        const continuable = !this.writer.started || route.execution === "stream" && route.resumable;
        if (continuable && this.retries.isRetryable) {
            return false;
        }
        this.giveUp(this.failures.lastReason, undefined);
        return true;
    }

    private onFirstChunk(): void {
        this.recorder.recordFirstByte();
        this.prompt.onFirstChunk();
        this.recorder.recordUsage(this.ctx.clock.now());
    }

    /** Resolves with whether there is still something to do, once the close of a caller that has left would be read. */
    private async callerStays(): Promise<boolean> {
        if (await this.caller.hasLeft() && !this.stopped) {
            this.leave();
        }
        return !this.stopped;
    }

    /** Ends the request of a caller that has left. */
    private leave(): void {
        const { res, workspace, units } = this.admitted;
        const notSent = this.runs === 0 && this.currentAttempt?.sent !== true;
        this.outcome = "left";
        this.finished = true;
        const begun = this.writer.started;
        answerClosedCaller(res, !notSent, this.ctx.connections.closesAfter(res));
        if (notSent && workspace !== undefined) {
            this.ctx.view.caps.refund(workspace, units);
        }
        this.recorder.recordLeft(this.currentAttempt, this.runs, begun);
        this.stop();
    }

    /** Ends all work on the request. */
    private stop(): void {
        this.stopped = true;
        this.selection.leave();
        const inFlight = this.currentAttempt;
        if (inFlight !== undefined && !inFlight.slotReleased) {
            inFlight.attempt.abort();
            this.bodies.releaseSlot(inFlight);
        }
        this.bodies.parked.closeAll();
        this.writer.stopForCaller();
    }

    private onDeadline(): void {
        if (this.currentAttempt?.slotReleased === false && !this.writer.started) {
            this.recorder.recordSilence(this.currentAttempt);
        }
        this.giveUp("time is up", undefined);
        this.stop();
    }

    /** Runs a callback of a timer, whose errors nobody else would catch. */
    private guard<T>(action: () => T, fallback: T): T {
        try {
            return action();
        }
        catch (err) {
            this.onInternalError(err);
            return fallback;
        }
    }

    /** Ends the request after an unexpected error, with the answer that is true for what has been sent. */
    private onInternalError(err: unknown): void {
        this.recorder.recordInternalError(err);
        try {
            if (!this.finished && !this.stopped && !this.admitted.res.writableEnded) {
                this.giveUp(internalErrorReason, undefined);
            }
        }
        finally {
            this.stop();
        }
    }

    /** Ends a request without an answer before a planned stop closes its connection; a begun answer may go on. */
    private onStopEnd(): void {
        if (!this.finished && !this.writer.started) {
            this.giveUp("stopping", undefined);
            this.stop();
        }
    }

    /** Ends the request without an endpoint's answer. A caller may retry a request that is certain not to have run. */
    private giveUp(reason: string, retryAfterMs: number | undefined, best?: EndpointChoice<Endpoint>): void {
        const { res, workspace, units } = this.admitted;
        const cut = this.writer.started;
        const notRun = this.runs === 0
            && (this.currentAttempt?.sent !== true || this.currentAttempt.slotReleased || retryAfterMs !== undefined);
        this.finished = true;
        this.outcome = cut ? "cut" : notRun ? "refused" : "failed";
        // What the caller is owed comes before anything that may fail.
        if (cut) {
            this.recorder.reportCut(reason, () => breakOffAnswer(res));
        }
        else {
            const status = notRun ? 503 : reason === "time is up" ? 504 : 502;
            const retryMs = notRun ? retryAfterMs ?? endpointRefusedRetryMs : undefined;
            sendRefusal(res, status, reason, retryMs, this.ctx.connections.closesAfter(res));
        }
        if (notRun && workspace !== undefined) {
            this.ctx.view.caps.refund(workspace, units);
        }
        // The attempt in progress is counted only when it has ended.
        this.recorder.recordGiveUp(reason, notRun ? 0 : Math.max(1, this.runs), best);
    }
}
