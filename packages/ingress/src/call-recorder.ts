import {
    type EndpointChoice,
    type EndpointOutcome,
    EngineModel,
    engineSpeedDefaults,
    expectedSlotMs,
} from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import type { EventFields } from "@lentilramp/runtime";
import murmurhash from "murmurhash";
import type { AdmittedRequest } from "./admission.ts";
import type { CutCause } from "./caller-cuts.ts";
import type { InFlightAttempt } from "./in-flight-attempt.ts";
import type { ParkedProgress } from "./parked-attempts.ts";
import type { AnswerHead } from "./platform-adapter.ts";
import { internalErrorReason } from "./refusal.ts";
import type { RelayContext } from "./relay.ts";

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
    /** Time and inputs of the decision on the last attempt. */
    private decision: { at: number; predictedMs: number; unread: number; queued: number; running: number; } | undefined;

    constructor(private readonly admitted: AdmittedRequest, private readonly ctx: RelayContext) {
        this.admittedAt = ctx.clock.now();
    }

    /** Adds the request's work to the demand on its service, whether the request will be served or refused. */
    recordDemand(best: EndpointChoice<Endpoint> | undefined): void {
        const { service, work } = this.admitted.dispatch;
        if (work !== undefined) {
            const unreadTokens = best?.prediction.unreadTokens ?? work.promptTokens;
            const model = this.ctx.latencyModel(service);
            const speed = model instanceof EngineModel ? model.speedEstimate.speed : engineSpeedDefaults;
            const placeMs = expectedSlotMs(work, unreadTokens, speed);
            this.ctx.addDemand(service, { unreadTokens, promptTokens: work.promptTokens, placeMs });
        }
    }

    /** Counts the request in its workspace's usage at its first execution, once over all attempts. */
    recordUsage(at: number): void {
        const { workspace } = this.admitted;
        if (workspace !== undefined && !this.usageRecorded) {
            this.usageRecorded = true;
            const { view, clock } = this.ctx;
            view.usage.record(workspace.name, view.fleetTime() - (clock.now() - at));
        }
    }

    /** Records the outcome of an attempt in the endpoint's health. */
    recordHealth(endpoint: Endpoint, outcome: EndpointOutcome): void {
        const { view, clock, log } = this.ctx;
        const siblings = view.endpoints.readyEndpoints(endpoint.service).map(other => other.id);
        if (view.health.recordOutcome(endpoint.id, siblings, outcome, clock.now())) {
            log.warn("endpoint.ejected", { endpoint: endpoint.id, service: endpoint.service, outcome });
        }
    }

    /**
     * Applies the state that an endpoint reports about itself in the headers of any answer to a request that was sent
     * at `sentAt`.
     */
    applyAnswerHead(endpoint: Endpoint, head: AnswerHead, sentAt: number): void {
        if (head.otherEndpoint) {
            return;
        }
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
    recordDecision({ prediction, running }: EndpointChoice<Endpoint>, queued: number): void {
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
    }

    recordFailedAttempt(attempt: { endpoint: Endpoint; sentAt: number; }, outcome: string, reason: string): void {
        this.lastBreak = outcome === "cut" ? reason : this.lastBreak;
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
            metrics.timing("first_byte", (this.firstByteAt ?? now) - dispatch.arrivedAt, { execution });
            metrics.timing("whole_answer", now - dispatch.arrivedAt, { execution });
        }
    }
}
