import {
    type Candidate,
    type Candidates,
    type DispatchDecision,
    Dispatcher,
    type DispatchRequest,
    EndpointHealth,
    EndpointPace,
    EngineModel,
    EngineSpeedEstimate,
    type LatencyModel,
    LoadTracker,
    PrefixCacheIndex,
    RendezvousAffinity,
    ServiceModel,
} from "@lentilramp/dispatch";
import { LimitPermits } from "@lentilramp/fleet";
import { ManualClock, SeededRandom } from "@lentilramp/runtime";

export type ServiceKind = "plain" | "engine";

/**
 * What each decision gets: the same list, a copy of it, a list filtered by the limits of endpoints, or the same list with
 * a predicate for these limits, as an ingress passes it for a service with more than 192 endpoints.
 */
export type ListKind = "same" | "new" | "filtered" | "predicate";

export interface ChoiceOptions {
    endpoints: number;
    kind: ServiceKind;
    /** Whether the endpoints state their pace. */
    isEstimated: boolean;
    /** Part of the endpoints that are full. */
    fullPart: number;
    lists?: ListKind;
    seed: number;
}

const slots = 8;
const cacheTokens = 200_000;
const targetMs = 560;
/** Connections that one of 1,600 ingresses uses to an endpoint. */
const connectionShare = 2;
/** Prompts that share their first part. */
const sharedPrompts = 500;

/** One service as an ingress knows it, with loads that peers report and evidence on each endpoint. */
export class ChoiceFixture {
    readonly candidates: readonly Candidate[];
    private readonly clock = new ManualClock(100_000);
    private readonly loads = new LoadTracker();
    private readonly limits = new LimitPermits(
        () => ({ members: 1_600, position: 0, fleetTimeMs: this.clock.now() }),
        () => undefined,
    );
    private readonly prefixes = new PrefixCacheIndex();
    private readonly pace: EndpointPace | undefined;
    private readonly model: LatencyModel;
    private readonly dispatcher: Dispatcher;
    private readonly random: SeededRandom;
    private requests = 0;

    constructor(private readonly options: ChoiceOptions) {
        const { endpoints, kind, isEstimated, fullPart, seed } = options;
        this.random = new SeededRandom(seed);
        this.candidates = [...Array(endpoints).keys()].map(i => ({
            id: `replica-${i.toString(36).padStart(12, "0")}`,
            failureDomain: `d${i % 21}`,
            slots,
        }));
        this.pace = isEstimated ? new EndpointPace(this.clock) : undefined;
        this.model = kind === "plain"
            ? new ServiceModel(this.pace)
            : new EngineModel(
                this.prefixes,
                new RendezvousAffinity(() => this.candidates),
                new EngineSpeedEstimate(40),
                this.pace,
            );
        this.dispatcher = new Dispatcher(this.loads, new EndpointHealth(), new SeededRandom(seed + 1));
        const isFull = (): boolean => this.random.next() < fullPart;
        this.loads.applyPeerLoad(
            "peer",
            this.candidates.map(({ id }) => [id, {
                running: isFull() ? slots + 1 : this.random.nextInt(slots),
                unreadTokens: 0,
            }]),
            true,
        );
        for (const { id } of this.candidates) {
            this.pace?.recordReport(id, 80 + this.random.nextInt(60));
            this.pace?.observe(id, 70 + this.random.nextInt(40), 80);
            this.pace?.observeConcurrency(id, slots, 1 + this.random.nextInt(slots), 80, 80);
        }
    }

    /** Decides on one request at a time `intervalMs` after the last one, and records an answer of the endpoint chosen. */
    decide(intervalMs: number): DispatchDecision<Candidate> {
        this.clock.advanceTo(this.clock.now() + intervalMs);
        const now = this.clock.now();
        const req = this.request(now);
        const decision = this.dispatcher.decide(req, this.candidatesAt(now), this.model, now);
        if (decision.kind === "send") {
            const { endpoint, prediction } = decision.choice;
            this.loads.trackRequest(endpoint.id, prediction, now).recordEnd();
            this.pace?.recordReport(endpoint.id, 100);
            this.pace?.observe(endpoint.id, prediction.firstByteMs, prediction.firstByteMs / (prediction.factor ?? 1));
            if (req.work !== undefined) {
                this.prefixes.record(endpoint.id, req.work.parts, cacheTokens, now);
            }
        }
        return decision;
    }

    private candidatesAt(now: number): Candidates<Candidate> {
        const isAllowed = ({ id }: Candidate): boolean =>
            this.loads.localRunning(id) < connectionShare && this.limits.maySend(id, now);
        switch (this.options.lists) {
            case "new":
                return [...this.candidates];
            case "filtered":
                // The second filter is that of the version, which all endpoints have.
                return this.candidates.filter(isAllowed).filter(() => true);
            case "predicate":
                return { list: this.candidates, isKept: true, isAllowed };
            default:
                return this.candidates;
        }
    }

    private request(now: number): DispatchRequest {
        const id = `r${this.requests++}`;
        const shared = `p${this.random.nextInt(sharedPrompts)}`;
        return {
            id,
            service: "s",
            workspace: "w",
            rank: this.random.nextInt(3),
            arrivedAt: now,
            targetAt: now + targetMs,
            deadline: now + 10 * targetMs,
            work: this.options.kind === "plain" ? undefined : {
                parts: [{ id: shared, tokens: 1_000 }, { id: `session-${this.random.nextInt(10_000)}`, tokens: 800 }, {
                    id,
                    tokens: 200,
                }],
                promptTokens: 2_000,
                maxOutputTokens: 100,
                outputTokens: 60,
            },
        };
    }
}
