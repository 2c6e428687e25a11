import type { RandomSource } from "@lentilramp/runtime";
import type { EndpointHealth } from "./endpoint-health.ts";
import type { LatencyModel, Prediction } from "./latency-model.ts";
import type { LoadTracker } from "./load-tracker.ts";
import type { Candidate, DispatchRequest } from "./types.ts";

export interface DispatchOptions {
    /** Part of the time to the target that the first byte may be predicted to take, for the ranks 0, 1, and above. */
    targetFractionByRank: readonly number[];
    /** Requests over the places of an endpoint that may be sent there; it keeps a short queue of its own. */
    overbooking: number;
    /**
     * What the time that an endpoint itself spends on a request counts besides the time until the first byte: a prompt
     * that is read again delays others there.
     */
    readingWeight: number;
    /** Whether a request may wait for a place while its first byte can still be on time. */
    mayWait: boolean;
    /** Least time after which a refused caller may come back, in milliseconds. */
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
    /** Whether the first byte is expected on time. */
    onTime: boolean;
    /** Load of the endpoint before this request. */
    running: number;
}

export type DispatchDecision<C extends Candidate> =
    | { kind: "send"; choice: EndpointChoice<C>; }
    /** Worth another look when something ends, until the instant `until`. */
    | { kind: "wait"; waitUntil: number; best: EndpointChoice<C>; }
    | {
        kind: "refuse";
        reason: "no-endpoint" | "overload";
        retryAfterMs: number;
        /** The best endpoint that was not good enough. */
        best?: EndpointChoice<C>;
    };

/** The endpoint that a decision found best, whether it was good enough or not. */
export function bestChoice<C extends Candidate>(decision: DispatchDecision<C>): EndpointChoice<C> | undefined {
    return decision.kind === "send" ? decision.choice : decision.best;
}

/** Differences below this are noise of the prediction, in milliseconds; ties are broken at random. */
const tieMs = 3;
/** Put an endpoint behind all that are on time, or that have a place, in milliseconds. */
const latePenaltyMs = 100_000;
const fullPenaltyMs = 1_000_000;

/** Decides for one request at one instant: send it, let it wait, or refuse it. */
export class Dispatcher {
    constructor(
        private readonly board: LoadTracker,
        private readonly health: EndpointHealth,
        private readonly random: RandomSource,
        private readonly options: DispatchOptions = dispatchDefaults,
    ) {}

    /** `excluded` are endpoints that have had the request; `ahead` is the number of requests that wait before it. */
    decide<C extends Candidate>(
        req: DispatchRequest,
        candidates: readonly C[],
        model: LatencyModel,
        now: number,
        excluded: ReadonlySet<string> = new Set(),
        ahead = 0,
    ): DispatchDecision<C> {
        const choice = this.choose(req, candidates, model, now, excluded);
        if (choice === undefined) {
            const pausedMs = Math.min(...candidates.map(({ id }) => this.health.pausedUntil(id))) - now;
            const returnMs = Math.max(this.options.minRetryAfterMs * 4, Number.isFinite(pausedMs) ? pausedMs : 0);
            return { kind: "refuse", reason: "no-endpoint", retryAfterMs: this.spread(returnMs) };
        }
        const free = choice.running < choice.endpoint.slots + this.options.overbooking;
        if (free && choice.onTime && ahead === 0) {
            return { kind: "send", choice };
        }
        const latestStart = req.targetAt - choice.prediction.idleFirstByteMs;
        if (latestStart <= now && free && this.hasSpareCapacity(choice)) {
            // No endpoint can be on time, for example for a very long prompt; there is room, so late is better than never.
            return { kind: "send", choice };
        }
        const waitMs = choice.prediction.firstByteMs - this.allowedMs(req, now);
        if (this.options.mayWait && now + waitMs < latestStart && now < latestStart) {
            return { kind: "wait", waitUntil: latestStart, best: choice };
        }
        return { kind: "refuse", reason: "overload", retryAfterMs: this.spread(Math.max(waitMs, 0)), best: choice };
    }

    /** The endpoint with the earliest first byte; among those that are on time, reading prompts again counts against it. */
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
            const load = this.board.load(endpoint.id, now);
            const prediction = model.predict(req, endpoint, load);
            const full = load.running >= endpoint.slots + this.options.overbooking;
            const onTime = prediction.firstByteMs <= this.allowedMs(req, now);
            const score = prediction.firstByteMs + this.random.next() * tieMs + load.running / endpoint.slots * 10
                + (onTime ? prediction.idleFirstByteMs * this.options.readingWeight : latePenaltyMs)
                + (full ? fullPenaltyMs : 0);
            if (score < bestScore) {
                bestScore = score;
                best = { endpoint, prediction, onTime, running: load.running };
            }
        }
        return best;
    }

    private allowedMs(req: DispatchRequest, now: number): number {
        const parts = this.options.targetFractionByRank;
        const part = parts[Math.min(req.rank, parts.length - 1)] ?? 1;
        return (req.targetAt - now) * part;
    }

    private hasSpareCapacity<C extends Candidate>({ endpoint, running }: EndpointChoice<C>): boolean {
        return running < endpoint.slots / 2;
    }

    /** Spreads the returns of callers that were refused together. */
    private spread(ms: number): number {
        const { minRetryAfterMs, maxRetryAfterMs } = this.options;
        return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms) * (1 + this.random.next()));
    }
}
