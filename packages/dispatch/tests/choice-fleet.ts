import {
    type Candidate,
    type Candidates,
    type DispatchDecision,
    dispatchDefaults,
    Dispatcher,
    type DispatchOptions,
    type DispatchRequest,
    EndpointHealth,
    type EndpointLoad,
    EndpointPace,
    EngineModel,
    EngineSpeedEstimate,
    type LatencyModel,
    LoadTracker,
    PrefixCacheIndex,
    RendezvousAffinity,
    ServiceModel,
} from "@lentilramp/dispatch";
import { ManualClock, SeededRandom } from "@lentilramp/runtime";

export interface ChoiceFleetOptions {
    endpoints: number;
    kind: "plain" | "engine";
    isEstimated: boolean;
    seed: number;
    /** Part of the endpoints that are full by the reports of peers. */
    fullPart?: number;
    dispatch?: Partial<DispatchOptions>;
    loads?: LoadTracker;
    /** Returns what each decision chooses from; the list of all endpoints by default. */
    candidatesOf?: (all: readonly Candidate[]) => Candidates<Candidate>;
}

const slots = 4;

/** One ingress with one service whose loads, estimates, caches and pauses change at random with each request. */
export class ChoiceFleet {
    readonly candidates: readonly Candidate[];
    readonly clock = new ManualClock(10_000);
    readonly loads: LoadTracker;
    readonly health = new EndpointHealth();
    readonly prefixes = new PrefixCacheIndex();
    readonly affinity: RendezvousAffinity;
    readonly model: LatencyModel;
    readonly dispatcher: Dispatcher;
    readonly pace: EndpointPace | undefined;
    private readonly random: SeededRandom;
    private requests = 0;

    constructor(private readonly options: ChoiceFleetOptions) {
        const { endpoints, kind, isEstimated, seed, fullPart = 0.2, dispatch = {} } = options;
        this.random = new SeededRandom(seed);
        this.loads = options.loads ?? new LoadTracker();
        this.candidates = [...Array(endpoints).keys()].map(i => ({ id: `e${i}`, failureDomain: `d${i % 3}`, slots }));
        this.affinity = new RendezvousAffinity(() => this.candidates);
        this.pace = isEstimated ? new EndpointPace(this.clock) : undefined;
        this.model = kind === "plain"
            ? new ServiceModel(this.pace)
            : new EngineModel(this.prefixes, this.affinity, new EngineSpeedEstimate(40), this.pace);
        this.dispatcher = new Dispatcher(
            this.loads,
            this.health,
            new SeededRandom(seed + 1),
            { ...dispatchDefaults, ...dispatch },
        );
        this.reportLoads(() => this.randomLoad(this.random.next() < fullPart));
        for (const { id } of this.candidates) {
            this.pace?.recordReport(id, 60 + this.random.nextInt(200));
        }
    }

    private randomLoad(isFull: boolean): { running: number; unreadTokens: number; } {
        return {
            running: isFull ? slots + 1 : this.random.nextInt(slots + 1),
            unreadTokens: this.options.kind === "plain" ? 0 : this.random.nextInt(3) * 2_000,
        };
    }

    request(): DispatchRequest {
        const now = this.clock.now();
        const id = `r${this.requests++}`;
        return {
            id,
            service: "s",
            workspace: "w",
            rank: this.random.nextInt(3),
            arrivedAt: now,
            targetAt: now + 100 + this.random.nextInt(500),
            deadline: now + 3_000,
            work: this.options.kind === "plain" ? undefined : {
                parts: [
                    { id: `shared${this.random.nextInt(5)}`, tokens: 1_000 },
                    { id: `session${this.random.nextInt(20)}`, tokens: 500 },
                    { id, tokens: 100 },
                ],
                promptTokens: 1_600,
                maxOutputTokens: 50,
                outputTokens: 50,
            },
        };
    }

    /** Applies a report of a peer on the load of each endpoint. */
    reportLoads(loadOf: (id: string, i: number) => EndpointLoad): void {
        this.loads.applyPeerLoad("peer", this.candidates.map(({ id }, i) => [id, loadOf(id, i)]), true);
    }

    /** Decides a hundred times on one request of the most urgent rank that is due in 600 ms. */
    decideOnUrgent(): DispatchDecision<Candidate>[] {
        const now = this.clock.now();
        const req = { ...this.request(), rank: 0, targetAt: now + 600 };
        return Array.from({ length: 100 }, () => this.dispatcher.decide(req, this.candidates, this.model, now));
    }

    /** Returns decisions on one request that is due in 600 ms, each at the current time. */
    repeatedDecision(): () => DispatchDecision<Candidate> {
        const req: DispatchRequest = { ...this.request(), targetAt: this.clock.now() + 600 };
        return () => this.dispatcher.decide(req, this.candidates, this.model, this.clock.now());
    }

    /** Returns the endpoints of fifty choices for one request. */
    chooseOften(
        req: DispatchRequest,
        candidates = this.candidates,
        excluded?: ReadonlySet<string>,
    ): (string | undefined)[] {
        const now = this.clock.now();
        return Array.from(
            { length: 50 },
            () => this.dispatcher.choose(req, candidates, this.model, now, excluded)?.endpoint.id,
        );
    }

    /** Decides on one request; then the load and the pauses of some endpoints change. */
    step(): DispatchDecision<Candidate> {
        const { random, clock } = this;
        const req = this.request();
        const excluded = new Set(random.next() < 0.2 ? [this.anyEndpoint()] : []);
        const candidates = this.options.candidatesOf?.(this.candidates) ?? this.candidates;
        const decision = this.dispatcher.decide(req, candidates, this.model, clock.now(), excluded);
        if (decision.kind === "send") {
            this.serve(req, decision.choice.endpoint, decision.choice.prediction.firstByteMs);
        }
        if (random.next() < 0.05) {
            this.health.pause(this.anyEndpoint(), clock.now() + 200);
        }
        this.loads.applyPeerLoad("peer", [[this.anyEndpoint(), this.randomLoad(random.next() < 0.2)]], false);
        clock.advanceTo(clock.now() + 1 + random.nextInt(40));
        return decision;
    }

    private serve(req: DispatchRequest, { id }: Candidate, predictedMs: number): void {
        const { random, clock, pace, model } = this;
        const prediction = { firstByteMs: predictedMs, idleFirstByteMs: predictedMs, unreadTokens: 100 };
        const sent = this.loads.trackRequest(id, prediction, clock.now());
        if (req.work !== undefined) {
            this.prefixes.record(id, req.work.parts, 20_000, clock.now());
        }
        const measuredMs = predictedMs * (0.5 + random.next());
        clock.schedule(clock.now() + measuredMs, () => {
            sent.recordFirstByte(clock.now());
            sent.recordEnd();
            pace?.recordReport(id, 60 + random.nextInt(200));
            pace?.observe(id, measuredMs, predictedMs);
            if (model instanceof ServiceModel) {
                pace?.observeConcurrency(id, slots, 1 + random.nextInt(slots), measuredMs, predictedMs);
            }
        });
    }

    private anyEndpoint(): string {
        return `e${this.random.nextInt(this.candidates.length)}`;
    }
}

/** Returns what a decision says, as text. */
export function describeDecision(decision: DispatchDecision<Candidate>): string {
    const choice = decision.kind === "send" ? decision.choice : decision.best;
    const ms = decision.kind === "wait" ? decision.waitUntil : decision.kind === "refuse" ? decision.retryAfterMs : 0;
    const { endpoint, running, onTime, prediction } = choice ?? {};
    return [decision.kind, endpoint?.id, running, onTime, prediction?.firstByteMs.toFixed(6), ms.toFixed(6)].join(" ");
}
