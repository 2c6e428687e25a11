import {
    AnswerTimes,
    Dispatcher,
    DispatchQueue,
    EngineModel,
    type LatencyModel,
    type PromptAffinity,
    ServiceModel,
} from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import { IncompleteBodyError, PollBarrier, ReadScheduler } from "@lentilramp/protocol";
import { RetryBudget } from "@lentilramp/retries";
import type { Clock, EventLog, Metrics, RandomSource } from "@lentilramp/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Admission, type AdmittedRequest } from "./admission.ts";
import { describeError } from "./call-recorder.ts";
import { CallerConnections } from "./caller-connections.ts";
import { CallerCuts, type CallerExchange } from "./caller-cuts.ts";
import { CrashDetector } from "./crash-detector.ts";
import { EndpointPool } from "./endpoint-pool.ts";
import type { FleetView } from "./fleet-view.ts";
import type { IngressOptions } from "./ingress-options.ts";
import type { IngressComponentFactory } from "./ingress-policy.ts";
import { LimitGate } from "./limit-gate.ts";
import { isForwarded, PeerCall } from "./peer-call.ts";
import { type Peer, selectPeers } from "./peer-selection.ts";
import { PlannedStop } from "./planned-stop.ts";
import type { HeaderCodec } from "./platform-adapter.ts";
import { ReachMonitor } from "./reach-monitor.ts";
import { breakOffAnswer, internalErrorReason, internalErrorRetryMs, sendRefusal } from "./refusal.ts";
import { RelayedCall } from "./relayed-call.ts";

/** Longest time that a request waits for this process to become ready, in milliseconds; stewards start more slowly. */
const startupWaitMs = 900;
/** Fraction of a request's own time for which it waits at most. */
const startupWaitFraction = 1 / 2;
const startupCheckIntervalMs = 20;
/** Fraction of the shared retry budget that is used; the rest covers calls whose attempts are counted late. */
const usedBudgetFraction = 0.8;
/** Connections that an endpoint accepts when the catalog does not contain its service. */
const defaultConnectionLimit = 16;
/** Fraction of an endpoint's connection limit that all ingresses together use. */
const usedConnectionFraction = 0.9;

/** Services of the relay that a call uses. */
export interface RelayContext {
    view: FleetView;
    pool: EndpointPool;
    headerCodec: HeaderCodec;
    dispatcher: Dispatcher;
    clock: Clock;
    log: EventLog;
    metrics: Metrics;
    queue(service: string): DispatchQueue<Endpoint>;
    latencyModel(service: string): LatencyModel;
    retryBudget(service: string): RetryBudget;
    candidates(service: string): readonly Endpoint[];
    readonly limitGate: LimitGate;
    /** Undefined if the policy switches the detection of crashing prompt parts off. */
    readonly crashDetector: CrashDetector | undefined;
    maxIdleConnections(service: string): number;
    readonly connections: CallerConnections;
    readonly stop: PlannedStop;
    readonly pollBarrier: PollBarrier;
    readonly readScheduler: ReadScheduler;
    readonly answerTimes: AnswerTimes;
    readonly reach: ReachMonitor;
    /** Returns the peers to which a request may be forwarded, in the order in which they are asked. */
    peersFor(req: IncomingMessage): readonly Peer[];
    /** Whether a broken stream may be resumed at another endpoint. */
    readonly resumesStreams: boolean;
    addDemand(service: string, demand: EngineDemand): void;
}

/** Work that arrived for an engine service, and the prefill speed of its engines once it is measured. */
export interface EngineDemand {
    /** Prompt tokens that are not in an engine's cache. */
    unreadTokens: number;
    /** All prompt tokens, which engines with empty caches would have to read. */
    promptTokens: number;
    /** Time for which the requests would occupy slots. */
    placeMs: number;
    prefillTokensPerMs?: number;
}

/** Accepts callers' requests, checks route, API key and cap, and relays the admitted ones. */
export class Relay implements RelayContext {
    readonly pool = new EndpointPool();
    readonly dispatcher: Dispatcher;
    readonly limitGate: LimitGate;
    readonly crashDetector: CrashDetector | undefined;
    readonly cuts: CallerCuts;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    private readonly queues = new Map<string, DispatchQueue<Endpoint>>();
    private readonly models = new Map<string, LatencyModel>();
    private readonly budgets = new Map<string, RetryBudget>();
    private demand: Record<string, EngineDemand> = {};
    private readonly promptAffinity: PromptAffinity;
    private inFlight = 0;
    readonly stop: PlannedStop;
    readonly connections: CallerConnections;
    private readonly admission: Admission;
    readonly pollBarrier = new PollBarrier();
    readonly readScheduler = new ReadScheduler();
    readonly answerTimes = new AnswerTimes();
    readonly reach: ReachMonitor;
    private readonly random: RandomSource;

    constructor(
        readonly view: FleetView,
        readonly headerCodec: HeaderCodec,
        private readonly options: IngressOptions,
        base: { clock: Clock; random: RandomSource; log: EventLog; metrics: Metrics; },
        private readonly components: IngressComponentFactory,
    ) {
        this.clock = base.clock;
        this.log = base.log;
        this.metrics = base.metrics;
        this.random = base.random;
        this.reach = new ReachMonitor(
            () => view.endpoints.all,
            () => this.onReachChange(),
            base.clock,
            base.random,
            base.log,
        );
        this.cuts = new CallerCuts(
            {
                catalogVersion: () => view.catalog?.version,
                stopBegunAt: () => this.stop.begunAt,
                requestId: req => headerCodec.decodeCallerHead(req.headers).attemptId,
            },
            base.clock,
            base.log,
            base.metrics,
        );
        this.stop = new PlannedStop(options.graceMs);
        this.connections = new CallerConnections(this.stop);
        this.admission = new Admission(this, base.random);
        this.promptAffinity = components.createPromptAffinity(service => view.endpoints.readyEndpoints(service));
        this.dispatcher = new Dispatcher(view.loads, view.health, base.random, components.dispatchOptions());
        this.limitGate = new LimitGate(view, base.clock, base.random);
        this.crashDetector = view.crashes && new CrashDetector(
            view.crashes,
            id => !view.endpoints.isAvailable(id),
            () => view.requestSync(),
            base.clock,
            base.log,
        );
    }

    get resumesStreams(): boolean {
        return this.components.policy.resumption;
    }

    get requestsInFlight(): number {
        return this.inFlight;
    }

    /** Number of requests that wait for a slot, over all services. */
    get waiting(): number {
        return [...this.queues.values()].reduce((sum, queue) => sum + queue.size, 0);
    }

    /** Number of requests that wait for a slot of one service. */
    waitingFor(service: string): number {
        return this.queues.get(service)?.size ?? 0;
    }

    startDraining(startedAt: number): void {
        this.stop.begin(startedAt);
    }

    isDraining(): boolean {
        return this.stop.begun;
    }

    /** Returns the demand on each engine service since the last call, and resets it. */
    takeDemand(): Record<string, EngineDemand> {
        const { demand } = this;
        this.demand = {};
        for (const [service, model] of this.models) {
            if (model instanceof EngineModel && model.speedEstimate.isMeasured) {
                const entry = demand[service] ??= { unreadTokens: 0, promptTokens: 0, placeMs: 0 };
                entry.prefillTokensPerMs = model.speedEstimate.speed.prefillTokensPerMs;
            }
        }
        return demand;
    }

    addDemand(service: string, { unreadTokens, promptTokens, placeMs }: EngineDemand): void {
        const entry = this.demand[service] ??= { unreadTokens: 0, promptTokens: 0, placeMs: 0 };
        entry.unreadTokens += unreadTokens;
        entry.promptTokens += promptTokens;
        entry.placeMs += placeMs;
    }

    /** Handles one request; resolves when what its caller is owed has been sent or its connection has closed. */
    async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const arrivedAt = this.clock.now();
        if (!this.connections.recordRequest(req, res)) {
            req.resume();
            this.log.info("request.dropped", { id: this.headerCodec.decodeCallerHead(req.headers).attemptId });
            return;
        }
        const caller = this.cuts.followRequest(req, res);
        this.inFlight++;
        try {
            if (!this.view.ready && !this.view.lacksNewerCatalog) {
                await this.waitUntilReady(res, arrivedAt + startupWaitMs);
            }
            const admitted = await this.admission.admit(req, res, caller, arrivedAt).catch((err: unknown) =>
                this.onFailedAdmission(err, req, res, caller)
            );
            if (admitted !== undefined) {
                await this.relay(admitted);
            }
        }
        catch (err) {
            // A call answers before it does anything else that may fail; what failed here was before or after it.
            this.log.error("request.broken", { error: describeError(err) });
            if (!res.headersSent) {
                sendRefusal(res, 502, internalErrorReason, undefined, this.connections.closesAfter(res));
            }
            else if (!res.writableEnded) {
                breakOffAnswer(res);
            }
        }
        finally {
            this.inFlight--;
        }
    }

    private async relay(admitted: AdmittedRequest): Promise<void> {
        if (isForwarded(admitted.req)) {
            this.log.info("request.taken-for-peer", { id: admitted.dispatch.id });
        }
        const peers = this.reach.isCutOff ? this.peersFor(admitted.req) : [];
        if (peers.length > 0) {
            await new PeerCall(admitted, this, peers).run();
        }
        else {
            await new RelayedCall(admitted, this).run();
        }
    }

    private onReachChange(): void {
        if (!this.reach.isCutOff) {
            // The endpoints have failed here because of the paths to them.
            this.view.endpoints.all.forEach(({ id }) => this.view.health.removeEndpoint(id));
        }
        this.view.requestSync();
    }

    peersFor(req: IncomingMessage): readonly Peer[] {
        const peers = isForwarded(req) || this.stop.begun
            ? []
            : selectPeers(this.view.roster, this.options, this.random);
        // Until the paths are known to be lost, the endpoints may be down for the peers too.
        return this.reach.isCutOff ? peers : peers.slice(0, 1);
    }

    /** Ends a request that was not admitted because of an error; nothing has been sent to an endpoint. */
    private onFailedAdmission(
        err: unknown,
        req: IncomingMessage,
        res: ServerResponse,
        caller: CallerExchange,
    ): undefined {
        if (err instanceof IncompleteBodyError) {
            caller.recordCut("incomplete-request");
            res.destroy();
            return undefined;
        }
        const { attemptId } = this.headerCodec.decodeCallerHead(req.headers);
        this.log.error("request.broken", { id: attemptId, error: describeError(err) });
        if (!res.headersSent) {
            sendRefusal(res, 503, internalErrorReason, internalErrorRetryMs, this.connections.closesAfter(res));
        }
        return undefined;
    }

    queue(service: string): DispatchQueue<Endpoint> {
        const queue = this.queues.get(service) ?? new DispatchQueue<Endpoint>(this.clock);
        this.queues.set(service, queue);
        return queue;
    }

    latencyModel(service: string): LatencyModel {
        let model = this.models.get(service);
        if (model === undefined) {
            model = this.view.catalog?.services.get(service)?.engine === undefined
                ? new ServiceModel()
                : new EngineModel(this.view.prefixMemory, this.promptAffinity);
            this.models.set(service, model);
        }
        const rate = this.view.engineRates[service];
        if (this.components.policy.fleetSpeed && model instanceof EngineModel && rate !== undefined) {
            model.speedEstimate.setFallbackRate(rate);
        }
        return model;
    }

    retryBudget(service: string): RetryBudget {
        const { retryRatio, retryWindowMs, retryReserve } = this.options;
        const reserve = retryReserve * usedBudgetFraction / Math.max(2, this.view.memberCount);
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            budget = new RetryBudget({
                ratio: retryRatio * usedBudgetFraction,
                windowMs: retryWindowMs,
                bucketCount: 20,
                reserve,
            });
            this.budgets.set(service, budget);
        }
        budget.setReserve(reserve);
        return budget;
    }

    candidates(service: string): readonly Endpoint[] {
        const limit = this.connectionShare(service);
        const now = this.clock.now();
        return this.view.endpoints.readyEndpoints(service).filter(({ id }) =>
            this.view.loads.localRunning(id) < limit && this.view.limits.maySend(id, now)
        );
    }

    maxIdleConnections(service: string): number {
        return this.connectionShare(service);
    }

    /** Returns this ingress's share of the connections that one endpoint accepts. */
    private connectionShare(service: string): number {
        const limit = this.view.catalog?.services.get(service)?.connectionLimit ?? defaultConnectionLimit;
        return Math.max(2, Math.floor(limit * usedConnectionFraction / this.view.memberCount));
    }

    /**
     * Delays a request that arrived during startup; the process is usually ready within a fraction of a second. A
     * request with little time waits for a part of it, so that it can still be served or tried at another ingress.
     */
    private async waitUntilReady(res: ServerResponse, deadline: number): Promise<void> {
        const { req } = res;
        const { timeoutMs = Infinity } = this.headerCodec.decodeCallerHead(req.headers);
        const route = this.view.routes?.find(req.headers.host ?? "", req.url ?? "/");
        const ownTimeMs = Math.min(timeoutMs, route?.timeoutMs ?? Infinity);
        const giveUpAt = Math.min(deadline, this.clock.now() + ownTimeMs * startupWaitFraction);
        for (let now = this.clock.now(); now < giveUpAt; now = this.clock.now()) {
            if (this.view.ready || res.destroyed || this.stop.takesNone(now)) {
                return;
            }
            await this.clock.sleepUntil(Math.min(giveUpAt, now + startupCheckIntervalMs));
        }
    }
}
