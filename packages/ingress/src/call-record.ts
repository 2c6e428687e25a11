import {
    type EndpointChoice,
    type EndpointOutcome,
    EngineModel,
    engineSpeedDefaults,
    expectedSlotMs,
} from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import murmurhash from "murmurhash";
import type { AnswerHead } from "./platform-adapter.ts";
import type { AdmittedRequest, RelayContext } from "./relay.ts";

/** Requests for each line about an answer on time; chosen by the id, so that all processes keep the same ones. */
const answeredPerLine = 16;

/** How a request ended for its caller. */
export type CallOutcome = "answered" | "refused" | "failed" | "cut" | "left";

/** Accounts for one request: demand, usage of its workspace, health of endpoints, metrics and log. */
export class CallRecord {
    private usageRecorded = false;
    private firstByteAt: number | undefined;
    /** What the last send was decided on. */
    private sent: { at: number; predictedMs: number; unread: number; queued: number; running: number; } | undefined;

    constructor(private readonly admitted: AdmittedRequest, private readonly ctx: RelayContext) {}

    /** Counts the work that the request brings, whether it will be served or not. */
    demand(best: EndpointChoice<Endpoint> | undefined): void {
        const { service, work } = this.admitted.dispatch;
        if (work !== undefined) {
            const unreadTokens = best?.prediction.unreadTokens ?? work.promptTokens;
            const model = this.ctx.latencyModel(service);
            const speed = model instanceof EngineModel ? model.speedEstimate.speed : engineSpeedDefaults;
            const placeMs = expectedSlotMs(work, unreadTokens, speed);
            this.ctx.addDemand(service, { unreadTokens, promptTokens: work.promptTokens, placeMs });
        }
    }

    /** Counts the request once, when it first began to run, however often it is sent. */
    usage(at: number): void {
        const { workspace } = this.admitted;
        if (workspace !== undefined && !this.usageRecorded) {
            this.usageRecorded = true;
            const { view, clock } = this.ctx;
            view.usage.record(workspace.name, view.fleetTime() - (clock.now() - at));
        }
    }

    /** Notes what an endpoint made of a send. */
    health(endpoint: Endpoint, outcome: EndpointOutcome): void {
        const { view, clock, log } = this.ctx;
        const siblings = view.endpoints.readyEndpoints(endpoint.service).map(other => other.id);
        if (view.health.recordOutcome(endpoint.id, siblings, outcome, clock.now())) {
            log.warn("endpoint.ejected", { endpoint: endpoint.id, service: endpoint.service, outcome });
        }
    }

    /** Takes what an endpoint says of itself, whatever its answer is. */
    heard({ id, service }: Endpoint, { leaving, pauseMs }: AnswerHead): void {
        const { view, clock, log } = this.ctx;
        if (leaving && view.endpoints.markLeaving(id)) {
            log.info("endpoint.leaving", { endpoint: id, service });
        }
        if (pauseMs !== undefined) {
            view.health.pause(id, clock.now() + pauseMs);
            log.info("endpoint.paused", { endpoint: id, service, pauseMs: Math.round(pauseMs) });
        }
    }

    /** Notes the inputs of the decision to send; `queued` are the unread prompt tokens before this request. */
    decided({ prediction, running }: EndpointChoice<Endpoint>, queued: number): void {
        this.sent = {
            at: this.ctx.clock.now(),
            predictedMs: Math.round(prediction.firstByteMs),
            unread: prediction.unreadTokens,
            queued,
            running,
        };
    }

    firstByte(): void {
        const now = this.ctx.clock.now();
        this.firstByteAt ??= now;
        const model = this.ctx.latencyModel(this.admitted.dispatch.service);
        if (model instanceof EngineModel && this.sent?.queued === 0) {
            model.speedEstimate.observe(this.sent.unread, now - this.sent.at);
        }
    }

    sendFailed(sent: { endpoint: Endpoint; sentAt: number; }, outcome: string, reason: string): void {
        this.ctx.metrics.count("sends", 1, { outcome });
        this.ctx.log.info("request.send-failed", {
            id: this.admitted.dispatch.id,
            endpoint: sent.endpoint.id,
            outcome,
            reason,
            afterMs: Math.round(this.ctx.clock.now() - sent.sentAt),
        });
    }

    /** Notes why the request gets no answer of an endpoint; `best` was the best one that was not good enough. */
    gaveUp(reason: string, runs: number, best: EndpointChoice<Endpoint> | undefined): void {
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
        });
    }

    /** Notes the final outcome. */
    done(outcome: CallOutcome, endpoint: string | undefined, runs: number): void {
        const { route, dispatch, res } = this.admitted;
        const { metrics, clock, log } = this.ctx;
        const now = clock.now();
        const execution = route.execution;
        const late = outcome === "answered" && (this.firstByteAt ?? now) > dispatch.targetAt;
        if (late || murmurhash.v3(dispatch.id) % answeredPerLine === 0) {
            log.info("request.done", {
                id: dispatch.id,
                outcome,
                status: res.statusCode,
                endpoint,
                runs,
                late: late || undefined,
                ageMs: Math.round(now - dispatch.arrivedAt),
                firstByteMs: this.firstByteAt === undefined || this.sent === undefined
                    ? undefined
                    : Math.round(this.firstByteAt - this.sent.at),
                predictedMs: this.sent?.predictedMs,
                unread: this.sent?.unread,
                queued: this.sent?.queued,
                running: this.sent?.running,
            });
        }
        metrics.count("requests", 1, { execution, outcome });
        if (outcome === "answered" && res.statusCode < 500) {
            metrics.timing("first_byte", (this.firstByteAt ?? now) - dispatch.arrivedAt, { execution });
            metrics.timing("whole_answer", now - dispatch.arrivedAt, { execution });
        }
    }
}
