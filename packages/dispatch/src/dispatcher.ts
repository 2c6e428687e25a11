import type { RandomSource } from "@lentilramp/runtime";
import type { EndpointHealth } from "./endpoint-health.ts";
import type { LatencyModel, Prediction } from "./latency-model.ts";
import type { LoadTracker } from "./load-tracker.ts";
import type { Candidate, DispatchRequest } from "./types.ts";

export interface DispatchOptions {
    /** Fraction of the time left until the target that the predicted first byte may take, for ranks 0, 1 and above. */
    targetFractionByRank: readonly number[];
    /** Requests that may be sent to an endpoint beyond its slots; the endpoint queues them. */
    overbooking: number;
    /**
     * Weight of the first-byte time on an idle endpoint in the score of an endpoint, beside the predicted first-byte
     * time. It penalizes a repeated prefill, which delays the other requests on that endpoint.
     */
    readingWeight: number;
    /** Whether a request may be queued for a slot while its first byte can still be on time. */
    mayWait: boolean;
    /** Bounds of the retry delay in a refusal, in milliseconds. */
    minRetryAfterMs: number;
    maxRetryAfterMs: number;
}

export const dispatchDefaults: DispatchOptions = {
    targetFractionByRank: [0.95, 0.85, 0.75],
    overbooking: 1,
    readingWeight: 1,
    mayWait: true,
    minRetryAfterMs: 60,
    maxRetryAfterMs: 1_500,
};

export interface EndpointChoice<C extends Candidate> {
    endpoint: C;
    prediction: Prediction;
    /** Whether the first byte is predicted to arrive within the time budget of the request's rank. */
    onTime: boolean;
    /** Requests running on the endpoint before this one. */
    running: number;
}

export type DispatchDecision<C extends Candidate> =
    | { kind: "send"; choice: EndpointChoice<C>; }
    /** The request stays queued and is reevaluated when load changes, until the instant `waitUntil`. */
    | {
        kind: "wait";
        waitUntil: number;
        /** The best candidate; undefined while there is none. */
        best?: EndpointChoice<C>;
    }
    | {
        kind: "refuse";
        reason:
            | "no-endpoint"
            | "no-endpoint-of-version"
            | "endpoint-limit"
            | "blocked-part"
            | "blocked-request"
            | "withheld-request"
            | "overload"
            | "stopping";
        retryAfterMs: number;
        /** The best candidate, which did not meet the conditions for dispatch. */
        best?: EndpointChoice<C>;
    };

/** Returns the best endpoint of a decision, whether or not the request is sent to it. */
export function bestChoice<C extends Candidate>(decision: DispatchDecision<C>): EndpointChoice<C> | undefined {
    return decision.kind === "send" ? decision.choice : decision.best;
}

/** Prediction differences below this are noise, in milliseconds; such ties are broken at random. */
const tieBreakMs = 3;
/** Score penalty of an endpoint with as many running requests as slots, in milliseconds; scales with their ratio. */
const utilizationPenaltyMs = 10;
/** Score penalty that ranks an endpoint behind all endpoints that are on time, in milliseconds. */
const latePenaltyMs = 100_000;
/** Score penalty that ranks an endpoint behind all endpoints with a free slot, in milliseconds. */
const fullPenaltyMs = 1_000_000;
/** Multiple of the shortest retry delay that applies when no endpoint is usable. */
const noEndpointRetryFactor = 4;

/** Decides at one instant whether a request is sent to an endpoint, queued or refused. */
export class Dispatcher {
    constructor(
        private readonly loads: LoadTracker,
        private readonly health: EndpointHealth,
        private readonly random: RandomSource,
        private readonly options: DispatchOptions = dispatchDefaults,
    ) {}

    /**
     * Returns the decision for a request. `excluded` holds the endpoints that the request was already sent to;
     * `queuedAhead` is the number of queued requests that are served before it.
     */
    decide<C extends Candidate>(
        req: DispatchRequest,
        candidates: readonly C[],
        model: LatencyModel,
        now: number,
        excluded: ReadonlySet<string> = new Set(),
        queuedAhead = 0,
    ): DispatchDecision<C> {
        const choice = this.choose(req, candidates, model, now, excluded);
        if (choice === undefined) {
            const remainingPauseMs = Math.min(...candidates.map(({ id }) => this.health.pausedUntil(id))) - now;
            const retryAfterMs = Math.max(
                this.options.minRetryAfterMs * noEndpointRetryFactor,
                Number.isFinite(remainingPauseMs) ? remainingPauseMs : 0,
            );
            return { kind: "refuse", reason: "no-endpoint", retryAfterMs: this.withJitter(retryAfterMs) };
        }
        const hasFreeSlot = choice.running < choice.endpoint.slots + this.options.overbooking;
        if (hasFreeSlot && choice.onTime && queuedAhead === 0) {
            return { kind: "send", choice };
        }
        const latestStartAt = req.targetAt - choice.prediction.idleFirstByteMs;
        if (latestStartAt <= now && hasFreeSlot && this.hasSpareCapacity(choice)) {
            // The target cannot be met, for example because the prompt is very long. As the endpoint has spare
            // capacity, a late answer is better than a refusal.
            return { kind: "send", choice };
        }
        const waitMs = choice.prediction.firstByteMs - this.firstByteBudgetMs(req, now);
        if (this.options.mayWait && now + waitMs < latestStartAt && now < latestStartAt) {
            return { kind: "wait", waitUntil: latestStartAt, best: choice };
        }
        return { kind: "refuse", reason: "overload", retryAfterMs: this.withJitter(Math.max(waitMs, 0)), best: choice };
    }

    /**
     * Returns the usable endpoint with the lowest score, or undefined if there is none. The score is the predicted
     * first-byte time; among endpoints that are on time it adds the cost of a repeated prefill.
     */
    choose<C extends Candidate>(
        req: DispatchRequest,
        candidates: readonly C[],
        model: LatencyModel,
        now: number,
        excluded: ReadonlySet<string> = new Set(),
    ): EndpointChoice<C> | undefined {
        let best: EndpointChoice<C> | undefined;
        let bestScore = Infinity;
        for (const endpoint of candidates) {
            if (excluded.has(endpoint.id) || !this.health.isUsable(endpoint.id, now)) {
                continue;
            }
            const load = this.loads.load(endpoint.id, now);
            const prediction = model.predict(req, endpoint, load);
            const isFull = load.running >= endpoint.slots + this.options.overbooking;
            const onTime = prediction.firstByteMs <= this.firstByteBudgetMs(req, now);
            const score = prediction.firstByteMs + this.random.next() * tieBreakMs
                + load.running / endpoint.slots * utilizationPenaltyMs
                + (onTime ? prediction.idleFirstByteMs * this.options.readingWeight : latePenaltyMs)
                + (isFull ? fullPenaltyMs : 0);
            if (score < bestScore) {
                bestScore = score;
                best = { endpoint, prediction, onTime, running: load.running };
            }
        }
        return best;
    }

    private firstByteBudgetMs(req: DispatchRequest, now: number): number {
        const fractions = this.options.targetFractionByRank;
        const fraction = fractions[Math.min(req.rank, fractions.length - 1)] ?? 1;
        return (req.targetAt - now) * fraction;
    }

    private hasSpareCapacity<C extends Candidate>({ endpoint, running }: EndpointChoice<C>): boolean {
        return running < endpoint.slots / 2;
    }

    /** Adds jitter to a retry delay, so that callers that were refused together do not retry together. */
    private withJitter(ms: number): number {
        const { minRetryAfterMs, maxRetryAfterMs } = this.options;
        return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms) * (1 + this.random.next()));
    }
}
