import type { EndpointChoice } from "@lentilramp/dispatch";
import type { AnswerHead } from "@lentilramp/exchange";
import { type Endpoint, versionOf } from "@lentilramp/fleet";
import { CallerPresence, discardResponse } from "@lentilramp/protocol";
import type { IncomingMessage } from "node:http";
import type { AdmittedRequest } from "./admission.ts";
import { decideOnAnswer } from "./answer-decision.ts";
import { AnswerEnd } from "./answer-end.ts";
import { AnswerWriter } from "./answer-writer.ts";
import { AttemptFailures } from "./attempt-failures.ts";
import type { AttemptOutcome, AttemptProgress } from "./attempt.ts";
import { BodyRelay } from "./body-relay.ts";
import { CallEnd } from "./call-end.ts";
import { CallPath } from "./call-path.ts";
import { CallRecorder } from "./call-recorder.ts";
import { endpointRefusedRetryMs, EndpointSelection } from "./endpoint-selection.ts";
import { createAttempt, type InFlightAttempt } from "./in-flight-attempt.ts";
import { PeerCall } from "./peer-call.ts";
import { PromptOutcome } from "./prompt-outcome.ts";
import { internalErrorReason } from "./refusal.ts";
import type { RelayContext } from "./relay-context.ts";
import { DeadlineWatch } from "./request-deadline.ts";
import { RetryAllowance } from "./retry-allowance.ts";
import { recordOrigin } from "./stream-take-up.ts";

/** Relays one admitted request: waits for a slot, sends the request, retries where that is allowed, and answers. */
export class RelayedCall {
    private currentAttempt: InFlightAttempt | undefined;
    private readonly deadline: DeadlineWatch;
    /** Endpoint of the first event of a stream that may be taken up, as it was then. */
    private beginner: Endpoint | undefined;
    /** Whether nothing more is to be done for the caller. */
    private stopped = false;
    private readonly selection: EndpointSelection;
    private readonly writer: AnswerWriter;
    private readonly bodies: BodyRelay;
    private readonly caller: CallerPresence;
    private readonly recorder: CallRecorder;
    private readonly prompt: PromptOutcome;
    private readonly retries: RetryAllowance;
    private readonly failures: AttemptFailures;
    private readonly end: CallEnd;
    private readonly answerEnd: AnswerEnd;
    private readonly path: CallPath;

    constructor(private readonly admitted: AdmittedRequest, private readonly ctx: RelayContext) {
        this.recorder = new CallRecorder(admitted, ctx);
        this.end = new CallEnd(admitted, ctx, this.recorder, () => ({
            runs: this.runs,
            attempt: this.currentAttempt,
            hasBegun: this.writer.started,
        }));
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
                this.beginner = endpoint;
                this.selection.requireVersion(versionOf(endpoint));
                recordOrigin(admitted, endpoint, ctx.view);
            },
            onEventBegun: () => this.retries.tryReserve(),
            onProgress: () => this.retries.releaseReserve(),
            tryReplace: ({ endpoint }) => this.tryReplace(endpoint),
            onClose: inFlight => this.failures.recordClosed(inFlight),
            onRestEnd: (inFlight, end) => this.afterAttempt(inFlight, this.answerEnd.handle(inFlight, end, 200)),
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
        this.deadline = new DeadlineWatch(admitted, ctx, () => this.writer.started, onDeadline, () => {
            if (this.beginner !== undefined) {
                recordOrigin(admitted, this.beginner, ctx.view);
            }
        });
        const { recorder, selection, prompt, retries, deadline, writer, bodies, end } = this;
        const failures = new AttemptFailures({
            recorder,
            selection,
            prompt,
            retries,
            clock: ctx.clock,
            reach: ctx.reach,
        });
        this.failures = failures;
        this.answerEnd = new AnswerEnd(ctx, { recorder, prompt, retries, failures, deadline, writer, end });
        this.path = new CallPath(admitted, ctx, { selection, failures, bodies, writer });
    }

    /** Number of endpoints that ran or may have run the request. */
    private get runs(): number {
        return this.failures.runs;
    }

    async run(): Promise<void> {
        const { res, dispatch } = this.admitted;
        const onLeft = (): void =>
            this.end.finished || res.writableEnded ? undefined : this.guard(() => this.leave(), undefined);
        res.once("close", onLeft);
        this.ctx.connections.onCallerEnd(res, onLeft);
        this.deadline.start();
        const cancelStopNotice = this.ctx.stop.onAnswersDue(() => this.guard(() => this.onStopEnd(), undefined));
        this.ctx.retryBudget(dispatch.service).recordRequest(this.ctx.clock.now());
        try {
            await this.relay();
            if (!this.end.finished && !res.writableEnded && !res.destroyed) {
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
            this.failures.recordEnd();
            this.retries.releaseReserve();
            this.end.finished = true;
            this.recorder.recordOutcome(this.end.outcome, this.currentAttempt?.endpoint.id, this.runs);
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
                    || await this.returnOrEnd(() => this.end.giveUp(slot.reason, slot.retryAfterMs, slot.best))
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

    /** Waits before another attempt to resume a stream; resolves with whether it is to be made. */
    private async waitToResume(): Promise<boolean> {
        return await this.path.waitToResume() && !this.stopped;
    }

    /** Forwards a request to a peer; resolves with whether that was possible. The request is finished then. */
    private async forward(): Promise<boolean> {
        const peers = this.path.peers();
        if (peers.length === 0) {
            return false;
        }
        this.end.handOver();
        this.stopped = true;
        this.deadline.cancel();
        await new PeerCall(this.admitted, this.ctx, peers).run();
        return true;
    }

    private giveUpRetries(): void {
        const { lastReason } = this.failures;
        const mayCrash = this.retries.mayCrash(this.runs);
        const reason = mayCrash ? `${lastReason}, and its prompt may crash another endpoint` : lastReason;
        this.end.giveUp(reason, mayCrash ? undefined : endpointRefusedRetryMs);
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
            this.end.giveUp(outcome.reason, undefined);
            return true;
        }
        return false;
    }

    private async onAnswer(inFlight: InFlightAttempt, res: IncomingMessage, head: AnswerHead): Promise<boolean> {
        const { route } = this.admitted;
        this.recorder.applyAnswerHead(inFlight.endpoint, head, inFlight.sentAt);
        const status = res.statusCode ?? 0;
        this.failures.recordRun(inFlight);
        if (route.execution !== "stream" || status !== 200) {
            this.failures.recordUsage(inFlight.sentAt);
        }
        const decision = decideOnAnswer({
            status,
            isStream: route.execution === "stream",
            hasBegun: this.writer.started,
            hasParked: !this.bodies.parked.isEmpty,
            isRetryable: this.retries.isRetryable,
        }, () => this.retries.payAfterError(this.runs, this.selection));
        if (decision === "discard") {
            this.failures.discardAnswer(inFlight, res, status);
            return false;
        }
        if (decision === "withhold") {
            discardResponse(res);
            this.end.giveUp(`status ${status} without a statement that the request has not run`, undefined);
            return true;
        }
        return this.answerEnd.handle(inFlight, await this.bodies.relay(inFlight, res, status), status);
    }

    private onFirstChunk(): void {
        this.recorder.recordFirstByte();
        this.prompt.onFirstChunk();
        this.failures.recordUsage(this.ctx.clock.now());
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
        this.end.leave();
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
        this.end.giveUp("time is up", undefined);
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
            if (!this.end.finished && !this.stopped && !this.admitted.res.writableEnded) {
                this.end.giveUp(internalErrorReason, undefined);
            }
        }
        finally {
            this.stop();
        }
    }

    /** Ends a request without an answer before a planned stop closes its connection; a begun answer may go on. */
    private onStopEnd(): void {
        if (!this.end.finished && !this.writer.started) {
            this.end.giveUp("stopping", undefined);
            this.stop();
        }
    }
}
