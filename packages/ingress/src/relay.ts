import {
    AnswerTimes,
    Dispatcher,
    DispatchQueue,
    type DispatchRequest,
    EngineModel,
    type LatencyModel,
    type PromptAffinity,
    ServiceModel,
} from "@lentilramp/dispatch";
import type { HeaderCodec } from "@lentilramp/exchange";
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
import { type CandidateObstacle, EndpointCandidates, type ServiceCandidates } from "./endpoint-candidates.ts";
import { EndpointPool } from "./endpoint-pool.ts";
import { FleetPaces } from "./fleet-paces.ts";
import type { FleetView } from "./fleet-view.ts";
import type { IngressOptions } from "./ingress-options.ts";
import type { IngressComponentFactory } from "./ingress-policy.ts";
import { LimitGate } from "./limit-gate.ts";
import { isForwarded, PeerCall } from "./peer-call.ts";
import { type Peer, selectPeers } from "./peer-selection.ts";
import { PlannedStop } from "./planned-stop.ts";
import { ReachMonitor } from "./reach-monitor.ts";
import { breakOffAnswer, internalErrorReason, internalErrorRetryMs, sendRefusal } from "./refusal.ts";
import type { EngineDemand, RelayContext } from "./relay-context.ts";
import { RelayedCall } from "./relayed-call.ts";
import { RoomGate } from "./room-gate.ts";
import { StartupDelay } from "./startup-delay.ts";
import type { VersionPredicate } from "./version-parts.ts";
import type { VersionSplit } from "./version-split.ts";

/** Fraction of the shared retry budget that is used; the rest covers calls whose attempts are counted late. */
const usedBudgetFraction = 0.8;

/** Accepts callers' requests, checks route, API key and cap, and relays the admitted ones. */
export class Relay implements RelayContext {
    readonly pool = new EndpointPool();
    readonly dispatcher: Dispatcher;
    readonly limitGate: LimitGate;
    readonly roomGate: RoomGate;
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
    readonly paces: FleetPaces;
    private readonly random: RandomSource;
    private readonly startup: StartupDelay;
    private readonly endpointCandidates: EndpointCandidates;

    constructor(
        readonly view: FleetView,
        readonly headerCodec: HeaderCodec,
        private readonly options: IngressOptions,
        base: { clock: Clock; random: RandomSource; log: EventLog; metrics: Metrics; },
        private readonly components: IngressComponentFactory,
        readonly versionSplit: VersionSplit | undefined = undefined,
    ) {
        this.clock = base.clock;
        this.log = base.log;
        this.metrics = base.metrics;
        this.random = base.random;
        this.startup = new StartupDelay(this);
        this.endpointCandidates = new EndpointCandidates(view, base.clock);
        view.onUpdate = () => this.startup.check();
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
        this.paces = new FleetPaces(
            this.models,
            view.endpoints,
            service => view.catalog?.services.has(service) === true ? this.latencyModel(service) : undefined,
            base.log,
        );
        this.stop = new PlannedStop(options.graceMs);
        this.connections = new CallerConnections(this.stop);
        this.admission = new Admission(this, base.random);
        this.promptAffinity = components.createPromptAffinity(service => view.endpoints.readyEndpoints(service));
        this.dispatcher = new Dispatcher(view.loads, view.health, base.random, components.dispatchOptions());
        this.limitGate = new LimitGate(view, base.clock, base.random);
        this.roomGate = new RoomGate(
            {
                ...base,
                view,
                dispatcher: this.dispatcher,
                latencyModel: service => this.latencyModel(service),
                candidates: service => this.candidatePool(service),
                addDemand: (service, demand) => this.addDemand(service, demand),
            },
            components.policy.fleetAdmission,
            base.random,
        );
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

    /** Number of waiting requests that would be served before `req`. */
    queuedAhead(req: DispatchRequest): number {
        return this.queues.get(req.service)?.countAhead(req) ?? 0;
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
            if (this.startup.isNeeded) {
                await this.startup.wait(res, arrivedAt);
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
        const queue = this.queues.get(service)
            ?? new DispatchQueue<Endpoint>(this.clock, this.roomGate.queueRule(service));
        this.queues.set(service, queue);
        return queue;
    }

    latencyModel(service: string): LatencyModel {
        let model = this.models.get(service);
        if (model === undefined) {
            model = this.createModel(service);
            this.models.set(service, model);
        }
        this.applyFleetSpeed(service, model);
        return model;
    }

    /** Returns a copy of the model of a service, for reading; the service itself does not change. */
    modelSnapshot(service: string): LatencyModel {
        const model = (this.models.get(service) ?? this.createModel(service)).snapshot();
        this.applyFleetSpeed(service, model);
        return model;
    }

    private createModel(service: string): LatencyModel {
        const pace = this.components.createEndpointPace(this.clock);
        return this.view.catalog?.services.get(service)?.engine === undefined
            ? new ServiceModel(pace)
            : new EngineModel(this.view.prefixMemory, this.promptAffinity, undefined, pace);
    }

    private applyFleetSpeed(service: string, model: LatencyModel): void {
        const rate = this.view.engineRates[service];
        if (this.components.policy.fleetSpeed && model instanceof EngineModel && rate !== undefined) {
            model.speedEstimate.setFallbackRate(rate);
        }
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
        return this.endpointCandidates.of(service);
    }

    candidatePool(service: string, mayUse: VersionPredicate = () => true): ServiceCandidates {
        return this.endpointCandidates.areMany(service)
            ? this.endpointCandidates.pool(service, mayUse)
            : this.endpointCandidates.filteredPool(this.candidates(service).filter(mayUse));
    }

    hasReady(service: string, mayUse: VersionPredicate): boolean {
        return this.endpointCandidates.hasReady(service, mayUse);
    }

    /** Returns why a ready endpoint is no candidate; undefined if it is one. */
    candidateObstacle(endpoint: Endpoint): CandidateObstacle | undefined {
        return this.endpointCandidates.obstacle(endpoint);
    }

    maxIdleConnections(service: string): number {
        return this.endpointCandidates.connectionShare(service);
    }
}
