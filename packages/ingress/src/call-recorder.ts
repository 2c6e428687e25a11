import { type EndpointChoice, type EndpointOutcome, EngineModel } from "@lentilramp/dispatch";
import type { AnswerHead } from "@lentilramp/exchange";
import type { Endpoint } from "@lentilramp/fleet";
import type { EventFields } from "@lentilramp/runtime";
import murmurhash from "murmurhash";
import type { AdmittedRequest } from "./admission.ts";
import type { CutCause } from "./caller-cuts.ts";
import type { InFlightAttempt } from "./in-flight-attempt.ts";
import { PaceRecorder } from "./pace-recorder.ts";
import type { ParkedProgress } from "./parked-attempts.ts";
import { internalErrorReason } from "./refusal.ts";
import type { RelayContext } from "./relay-context.ts";

/**
 * One request in this many is logged when its answer was on time. The sample is chosen by the request's id, so that all
 * processes log the same requests.
 */
const onTimeAnswersPerLine = 16;

/** Returns what a log line says of an unexpected error. */
export function describeError(err: unknown): string {
    return err instanceof Error ? err.stack ?? err.message : String(err);
}

/**
 * Final outcome of a request for its caller; `left` when the caller closed the connection, `forwarded` when a peer was
 * asked instead.
 */
export type CallOutcome = "answered" | "refused" | "failed" | "cut" | "left" | "forwarded";

/** Records one request: demand, usage of its workspace, health of endpoints, metrics and log. */
export class CallRecorder {
    private readonly admittedAt: number;
    private usageRecorded = false;
    private firstByteAt: number | undefined;
    /** How the last incomplete answer ended. */
    private lastBreak: string | undefined;
    /** Expected slot time of the request in milliseconds; undefined before the first decision on it. */
    private expectedSlotMs: number | undefined;
    /** Time and inputs of the decision on the last attempt. */
    private decision: { at: number; predictedMs: number; unread: number; queued: number; running: number; } | undefined;

    /** Records what the attempts show of the pace of endpoints. */
    readonly pace: PaceRecorder;

    constructor(private readonly admitted: AdmittedRequest, private readonly ctx: RelayContext) {
        this.admittedAt = ctx.clock.now();
        this.pace = new PaceRecorder(admitted.dispatch.service, ctx);
    }

    /** Adds the request's work to the demand on its service, whether the request will be served or refused. */
    recordDemand(best: EndpointChoice<Endpoint> | undefined): void {
        this.expectedSlotMs = this.ctx.roomGate.recordArrival(this.admitted.dispatch, best);
    }

    /**
     * Counts the request at its first execution, once over all attempts: in its workspace's usage, and for a roll-out as
     * one that has reached its service.
     */
    recordUsage(at: number): void {
        const { workspace, dispatch } = this.admitted;
        if (this.usageRecorded) {
            return;
        }
        this.usageRecorded = true;
        const { view, clock, versionSplit } = this.ctx;
        versionSplit?.recordArrival(dispatch.service);
        if (workspace !== undefined) {
            view.usage.record(workspace.name, view.fleetTime() - (clock.now() - at));
        }
    }

    /** Records the outcome of an attempt in the endpoint's health. */
    recordHealth(endpoint: Endpoint, outcome: EndpointOutcome): void {
        this.recordVersion(endpoint, outcome);
        this.recordEndpoint(endpoint, outcome);
    }

    /**
     * Records in the endpoint's health that no connection to it could be opened. This says nothing of its version: the
     * path or the machine may be down, which many ingresses see at once.
     */
    recordUnopened(endpoint: Endpoint): void {
        this.recordEndpoint(endpoint, "broken");
    }

    private recordEndpoint(endpoint: Endpoint, outcome: EndpointOutcome): void {
        const { view, clock, log } = this.ctx;
        const siblings = view.endpoints.readyIds(endpoint.service);
        if (view.health.recordOutcome(endpoint.id, siblings, outcome, clock.now())) {
            log.warn("endpoint.ejected", { endpoint: endpoint.id, service: endpoint.service, outcome });
        }
    }

    /**
     * Counts a response for a roll-out. A connection that an endpoint closes because it leaves says nothing of its
     * version.
     */
    private recordVersion(endpoint: Endpoint, outcome: EndpointOutcome): void {
        const { versionSplit, view } = this.ctx;
        if (outcome === "answered") {
            versionSplit?.recordResponse(endpoint, this.admitted.route.name, "answered", this.versionTimeMs());
        }
        else if (outcome === "error" || view.endpoints.isAvailable(endpoint.id)) {
            versionSplit?.recordResponse(endpoint, this.admitted.route.name, "failed");
        }
    }

    /**
     * Returns the time of a response by which versions are compared: to the first byte of a stream, to the end of another
     * response. That of an engine is a percentage of the time that an idle one of usual speed would take, since endpoints
     * whose version is new have no prompts in their caches.
     */
    private versionTimeMs(): number | undefined {
        const { decision, firstByteAt, ctx: { clock } } = this;
        const endedAt = this.admitted.route.execution === "stream" ? firstByteAt : clock.now();
        if (decision === undefined || endedAt === undefined || endedAt < decision.at) {
            return undefined;
        }
        const model = this.ctx.latencyModel(this.admitted.dispatch.service);
        if (!(model instanceof EngineModel)) {
            return endedAt - decision.at;
        }
        const { roundTripMs, firstEventMs, prefillTokensPerMs } = model.speedEstimate.speed;
        const usualMs = roundTripMs + firstEventMs + (decision.unread + decision.queued) / prefillTokensPerMs;
        return 100 * (endedAt - decision.at) / usualMs;
    }

    /**
     * Applies the state that an endpoint reports about itself in the headers of any answer to a request that was sent
     * at `sentAt`.
     */
    applyAnswerHead(endpoint: Endpoint, head: AnswerHead, sentAt: number): void {
        if (head.otherEndpoint) {
            return;
        }
        this.pace.recordHead(endpoint, head);
        const { leaving, pauseMs, limitPerSecond } = head;
        const { view, clock, log } = this.ctx;
        const { id, service } = endpoint;
        if (leaving && view.endpoints.markLeaving(id)) {
            log.info("endpoint.leaving", { endpoint: id, service, source: "answer" });
        }
        if (pauseMs !== undefined) {
            view.health.pause(id, clock.now() + pauseMs);
            log.info("endpoint.paused", { endpoint: id, service, pauseMs: Math.round(pauseMs) });
        }
        if (limitPerSecond === "unreadable") {
            log.warn("endpoint.limit-unreadable", { endpoint: id, service });
        }
        else if (view.limits.recordAnswer(endpoint, limitPerSecond, sentAt, clock.now())) {
            log.info("endpoint.limit", {
                endpoint: id,
                service,
                perSecond: limitPerSecond ?? "none",
                source: "answer",
            });
        }
    }

    /** Counts a send to an endpoint that limits its requests; `path` tells why the request is sent now. */
    recordLimitedSend(endpoint: Endpoint, path: "arrival" | "queue" | "retry" | "resumption"): void {
        if (this.ctx.view.limits.limitOf(endpoint.id) !== undefined) {
            this.ctx.metrics.count("limited_sends", 1, { path });
        }
    }

    /** Records the inputs of a dispatch decision; `queued` are the unread prompt tokens ahead of it. */
    recordDecision(choice: EndpointChoice<Endpoint>, queued: number): void {
        const { prediction, running } = choice;
        this.pace.recordDecision(choice);
        this.decision = {
            at: this.ctx.clock.now(),
            predictedMs: Math.round(prediction.firstByteMs),
            unread: prediction.unreadTokens,
            queued,
            running,
        };
    }

    recordFirstByte(): void {
        const now = this.ctx.clock.now();
        this.firstByteAt ??= now;
        const model = this.ctx.latencyModel(this.admitted.dispatch.service);
        if (model instanceof EngineModel && this.decision?.queued === 0) {
            model.speedEstimate.observe(this.decision.unread, now - this.decision.at);
        }
        this.pace.recordFirstByte();
    }

    recordFailedAttempt(attempt: { endpoint: Endpoint; sentAt: number; }, outcome: string, reason: string): void {
        this.lastBreak = outcome === "cut" ? reason : this.lastBreak;
        if (outcome === "unknown") {
            this.pace.recordOverdue(attempt.endpoint);
        }
        this.ctx.metrics.count("sends", 1, { outcome });
        this.ctx.log.info("request.send-failed", {
            id: this.admitted.dispatch.id,
            endpoint: attempt.endpoint.id,
            outcome,
            reason,
            afterMs: Math.round(this.ctx.clock.now() - attempt.sentAt),
        });
    }

    /** Logs that the request goes on with an attempt that was silent; `reason` says why the last other one did not. */
    recordTakenBack(attempt: InFlightAttempt, reason: string, { hasProgress, isBroken }: ParkedProgress): void {
        this.ctx.log.info("request.taken-back", {
            id: this.admitted.dispatch.id,
            endpoint: attempt.endpoint.id,
            reason,
            state: hasProgress ? "progress" : isBroken ? "broken" : "silent",
            afterMs: Math.round(this.ctx.clock.now() - attempt.sentAt),
        });
    }

    /** Records that an attempt has no answer at the deadline, unless the time was too short for one. */
    recordSilence(attempt: InFlightAttempt): void {
        this.pace.recordOverdue(attempt.endpoint);
        if (this.ctx.clock.now() >= attempt.silenceFaultFrom) {
            this.recordHealth(attempt.endpoint, "broken");
            this.recordFailedAttempt(attempt, "unknown", "no answer before the deadline");
        }
    }

    recordInternalError(err: unknown): void {
        this.ctx.log.error("request.broken", { id: this.admitted.dispatch.id, error: describeError(err) });
    }

    /** Adds the call's own fields to the report of a cut; `describeAttempts` returns those that change. */
    describeCuts(describeAttempts: () => EventFields): void {
        const { caller, route, dispatch } = this.admitted;
        caller.describeBy(() => ({
            service: dispatch.service,
            execution: route.execution,
            resumable: route.resumable,
            ...describeAttempts(),
            lastBreak: this.lastBreak,
            timeLeftMs: Math.round(dispatch.deadline - this.ctx.clock.now()),
        }));
    }

    /** Reports that the caller's connection is closed in the middle of the answer, and closes it in any case. */
    reportCut(reason: string, close: () => void): void {
        const { caller, res } = this.admitted;
        try {
            if (!res.destroyed) {
                caller.recordCut(this.cutCause(reason), { reason });
            }
        }
        finally {
            close();
        }
    }

    private cutCause(reason: string): CutCause {
        switch (reason) {
            case internalErrorReason:
                return "error";
            case "time is up":
                return "deadline";
            default:
                return this.lastBreak === "stalled" ? "stalled" : "endpoint-cut";
        }
    }

    /** Logs that the caller closed its connection, or its sending side, before the answer was complete. */
    recordLeft(attempt: InFlightAttempt | undefined, runs: number, begun: boolean): void {
        const { req, dispatch } = this.admitted;
        const now = this.ctx.clock.now();
        if (attempt?.sent === true && !begun) {
            this.pace.recordOverdue(attempt.endpoint);
        }
        this.ctx.log.info("request.left", {
            id: dispatch.id,
            service: dispatch.service,
            // A reset leaves nothing to read. An end may be that of the sending side alone.
            by: req.socket.readableEnded ? "end" : "reset",
            sent: attempt?.sent === true,
            endpoint: attempt?.endpoint.id,
            runs,
            begun,
            ageMs: Math.round(now - dispatch.arrivedAt),
            timeLeftMs: Math.round(dispatch.deadline - now),
        });
    }

    /** Logs why the request gets no endpoint's answer; `best` is the best candidate that was not good enough. */
    recordGiveUp(reason: string, runs: number, best: EndpointChoice<Endpoint> | undefined): void {
        const { dispatch } = this.admitted;
        const { clock, log, view } = this.ctx;
        log.info("request.given-up", {
            id: dispatch.id,
            service: dispatch.service,
            rank: dispatch.rank,
            reason,
            runs,
            ageMs: Math.round(clock.now() - dispatch.arrivedAt),
            waiting: this.ctx.queue(dispatch.service).size,
            best: best?.endpoint.id,
            predictedMs: best === undefined ? undefined : Math.round(best.prediction.firstByteMs),
            running: best?.running,
            slots: best?.endpoint.slots,
            listAgeMs: Math.round(view.endpoints.ageMs(clock.now())),
            ...reason === "endpoint-limit"
                ? view.limits.describe(view.endpoints.readyEndpoints(dispatch.service), clock.now())
                : {},
            ...reason === "stopping" ? this.stopInputs() : {},
        });
    }

    /** Inputs of the decision that the answer may not end before a planned stop closes the connection. */
    private stopInputs(): EventFields {
        const { answerTimes, clock, stop } = this.ctx;
        const longestMs = answerTimes.longestMs(this.admitted.route.name);
        return {
            leftMs: Math.round(stop.answerAt - clock.now()),
            longestMs: longestMs === undefined ? undefined : Math.round(longestMs),
        };
    }

    private recordAnswerTime(outcome: CallOutcome, runs: number): void {
        const { route, res } = this.admitted;
        const { answerTimes, clock } = this.ctx;
        const answerMs = clock.now() - this.admittedAt;
        if (outcome === "answered" && res.statusCode < 500) {
            answerTimes.record(route.name, answerMs);
        }
        else if (runs > 0) {
            answerTimes.recordAtLeast(route.name, answerMs);
        }
    }

    /** Logs a late or sampled request, and counts the final outcome in the metrics. */
    recordOutcome(outcome: CallOutcome, endpoint: string | undefined, runs: number): void {
        const { route, dispatch, res } = this.admitted;
        const { metrics, clock, log } = this.ctx;
        const now = clock.now();
        const execution = route.execution;
        this.recordAnswerTime(outcome, runs);
        const late = outcome === "answered" && (this.firstByteAt ?? now) > dispatch.targetAt;
        if (late || murmurhash.v3(dispatch.id) % onTimeAnswersPerLine === 0) {
            log.info("request.done", {
                id: dispatch.id,
                outcome,
                status: res.statusCode,
                endpoint,
                runs,
                late: late || undefined,
                ageMs: Math.round(now - dispatch.arrivedAt),
                firstByteMs: this.firstByteAt === undefined || this.decision === undefined
                    ? undefined
                    : Math.round(this.firstByteAt - this.decision.at),
                predictedMs: this.decision?.predictedMs,
                unread: this.decision?.unread,
                queued: this.decision?.queued,
                running: this.decision?.running,
            });
        }
        metrics.count("requests", 1, { execution, outcome });
        if (outcome === "answered" && res.statusCode < 500) {
            if (this.expectedSlotMs !== undefined && this.decision !== undefined) {
                this.ctx.roomGate.recordServed(dispatch, this.expectedSlotMs, now - this.decision.at);
            }
            metrics.timing("first_byte", (this.firstByteAt ?? now) - dispatch.arrivedAt, { execution });
            metrics.timing("whole_answer", now - dispatch.arrivedAt, { execution });
        }
    }
}
