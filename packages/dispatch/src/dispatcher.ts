import { RandomSource } from "@lentilramp/runtime";
import type { EndpointHealth } from "./endpoint-health.ts";
import type { LatencyModel, Prediction } from "./latency-model.ts";
import type { LoadTracker } from "./load-tracker.ts";
import { PartialChoice } from "./partial-choice.ts";
import { allowedOf, type Candidate, type Candidates, type DispatchRequest, toPool } from "./types.ts";

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
    /** Number of candidates up to which all of them are considered for each request; among more, a part of them is. */
    maxWholeChoice: number;
}

/**
 * Considering 192 engines takes about 0.6 ms, which at 30 requests a second is just below the 2% of a core that a node may
 * spend on control.
 */
export const maxWholeChoiceDefault = 192;

export const dispatchDefaults: DispatchOptions = {
    targetFractionByRank: [0.95, 0.85, 0.75],
    overbooking: 1,
    readingWeight: 1,
    mayWait: true,
    minRetryAfterMs: 60,
    maxRetryAfterMs: 1_500,
    maxWholeChoice: maxWholeChoiceDefault,
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
/**
 * Ratio of scores up to which endpoints with an estimate are near equals. All ingresses learn nearly the same estimates
 * from each other and would send to the same endpoint, so that each takes the better of two random near equals. The
 * ratio for prompts is small, so that they stay with the engines that have cached them.
 */
const nearEqualRatio = 2;
const nearEqualPromptRatio = 1.25;
/** Score penalty of an endpoint with as many running requests as slots, in milliseconds; scales with their ratio. */
const utilizationPenaltyMs = 10;
/** Score penalty that ranks an endpoint behind all endpoints that are on time, in milliseconds. */
const latePenaltyMs = 100_000;
/** Score penalty that ranks an endpoint behind all endpoints with a free slot, in milliseconds. */
const fullPenaltyMs = 1_000_000;
/** Multiple of the shortest retry delay that applies when no endpoint is usable. */
const noEndpointRetryFactor = 4;

interface ScoredChoice<C extends Candidate> {
    score: number;
    choice: EndpointChoice<C>;
}

/** An endpoint as a request would be sent to it, and whether the draws among endpoints alike can choose it. */
export interface RankedChoice<C extends Candidate> extends ScoredChoice<C> {
    /** Whether the endpoint takes no more requests. */
    isFull: boolean;
    mayBeChosen: boolean;
}

/** What would be decided on a request, with the draws left out. */
export interface DispatchPreview<C extends Candidate> {
    /** The decision on the endpoint with the lowest score; a retry delay in it is the shortest one. */
    decision: DispatchDecision<C>;
    /** The usable endpoints, the best one first. */
    ranking: readonly RankedChoice<C>[];
}

/** Stands in for the draws where nothing must be drawn. */
class NoDraws extends RandomSource {
    override next(): number {
        return 0;
    }
}

/** Decides at one instant whether a request is sent to an endpoint, queued or refused. */
export class Dispatcher {
    private readonly part: PartialChoice;

    constructor(
        private readonly loads: LoadTracker,
        private readonly health: EndpointHealth,
        private readonly random: RandomSource,
        private readonly options: DispatchOptions = dispatchDefaults,
    ) {
        this.part = new PartialChoice(loads, health, random, options.overbooking);
    }

    /**
     * Returns the decision for a request. `excluded` holds the endpoints that the request was already sent to;
     * `queuedAhead` is the number of queued requests that are served before it.
     */
    decide<C extends Candidate>(
        req: DispatchRequest,
        candidates: Candidates<C>,
        model: LatencyModel,
        now: number,
        excluded: ReadonlySet<string> = new Set(),
        queuedAhead = 0,
    ): DispatchDecision<C> {
        return this.decideOn(this.choose(req, candidates, model, now, excluded), req, candidates, now, queuedAhead);
    }

    /**
     * Returns what `decide` would decide, with all usable endpoints by their scores. Nothing is drawn. `model` should be a
     * snapshot if its state must not change.
     */
    preview<C extends Candidate>(
        req: DispatchRequest,
        candidates: Candidates<C>,
        model: LatencyModel,
        now: number,
        queuedAhead = 0,
    ): DispatchPreview<C> {
        const undrawn = new Dispatcher(this.loads, this.health, new NoDraws(), this.options);
        const scored = allowedOf(candidates).filter(({ id }) => this.health.isUsable(id, now))
            .map(endpoint => undrawn.score(req, endpoint, model, now))
            .sort((a, b) => a.score - b.score);
        const [best] = scored;
        const decision = undrawn.decideOn(best?.choice, req, candidates, now, queuedAhead);
        if (best === undefined) {
            return { decision, ranking: [] };
        }
        // The draw that breaks ties adds up to `tieBreakMs` to each score.
        const tieLimit = best.score + tieBreakMs;
        const hasEstimatedTie = scored.some(({ score, choice }) =>
            score < tieLimit && choice.prediction.factor !== undefined
        );
        const nearEqualLimit = hasEstimatedTie
            ? nearEqualBelow(tieLimit, req)
            : -Infinity;
        // A sample may hold none of the best endpoints, but it is extended until it holds one of their kind, if there is one.
        const partLimit = toPool(candidates).list.length <= this.options.maxWholeChoice
            ? -Infinity
            : penaltyOf(best.score) + latePenaltyMs;
        const ranking = scored.map(entry => ({
            ...entry,
            isFull: entry.choice.running >= this.fullAt(entry.choice),
            mayBeChosen: entry.score < Math.max(tieLimit, partLimit)
                || entry.choice.prediction.factor !== undefined && entry.score < nearEqualLimit,
        }));
        return { decision, ranking };
    }

    private decideOn<C extends Candidate>(
        choice: EndpointChoice<C> | undefined,
        req: DispatchRequest,
        candidates: Candidates<C>,
        now: number,
        queuedAhead: number,
    ): DispatchDecision<C> {
        if (choice === undefined) {
            const pauseEnds = allowedOf(candidates).map(({ id }) => this.health.pausedUntil(id));
            const remainingPauseMs = Math.min(...pauseEnds) - now;
            const retryAfterMs = Math.max(
                this.options.minRetryAfterMs * noEndpointRetryFactor,
                Number.isFinite(remainingPauseMs) ? remainingPauseMs : 0,
            );
            return { kind: "refuse", reason: "no-endpoint", retryAfterMs: this.withJitter(retryAfterMs) };
        }
        const hasFreeSlot = choice.running < this.fullAt(choice);
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
     * first-byte time; among endpoints that are on time it adds the cost of a repeated prefill. Of more candidates than
     * `maxWholeChoice` a part is considered: a sample, those that the model prefers, and, if none of these could serve the
     * request at once, those that may take one. Whether an endpoint may be sent to is asked for each that is scored, so
     * that nothing that is remembered of earlier choices can bring one back that may not.
     */
    choose<C extends Candidate>(
        req: DispatchRequest,
        candidates: Candidates<C>,
        model: LatencyModel,
        now: number,
        excluded: ReadonlySet<string> = new Set(),
    ): EndpointChoice<C> | undefined {
        this.part.dropOldSearches(now);
        const pool = toPool(candidates);
        const scoreUsable = (endpoints: readonly C[]): ScoredChoice<C>[] =>
            endpoints.filter(endpoint =>
                pool.isAllowed(endpoint) && !excluded.has(endpoint.id) && this.health.isUsable(endpoint.id, now)
            ).map(endpoint => this.score(req, endpoint, model, now));
        if (pool.list.length <= this.options.maxWholeChoice) {
            return this.chooseBest(scoreUsable(pool.list), req);
        }
        const first = this.part.select(req, pool, model);
        if (first === undefined) {
            return this.choose(req, allowedOf(pool), model, now, excluded);
        }
        const scored = scoreUsable(first);
        if (!scored.some(({ choice }) => choice.onTime && choice.running < this.fullAt(choice))) {
            scored.push(...scoreUsable(this.part.selectFree(req, pool, model, first, now)));
        }
        // No request is refused for lack of an endpoint while there is one.
        return this.chooseBest(scored.length > 0 ? scored : scoreUsable(pool.list), req);
    }

    private chooseBest<C extends Candidate>(
        scored: readonly ScoredChoice<C>[],
        req: DispatchRequest,
    ): EndpointChoice<C> | undefined {
        let best: ScoredChoice<C> | undefined;
        for (const entry of scored) {
            if (entry.score < (best?.score ?? Infinity)) {
                best = entry;
            }
        }
        return best?.choice.prediction.factor === undefined
            ? best?.choice
            : this.chooseNearEqual(
                best,
                scored.filter(({ choice }) => choice.prediction.factor !== undefined),
                req,
            );
    }

    private score<C extends Candidate>(
        req: DispatchRequest,
        endpoint: C,
        model: LatencyModel,
        now: number,
    ): ScoredChoice<C> {
        const load = this.loads.load(endpoint.id, now);
        const prediction = model.predict(req, endpoint, load);
        const isFull = load.running >= this.fullAt({ endpoint, prediction });
        const onTime = prediction.firstByteMs <= this.firstByteBudgetMs(req, now);
        const score = prediction.firstByteMs + this.random.next() * tieBreakMs
            + load.running / endpoint.slots * utilizationPenaltyMs
            + (onTime ? prediction.idleFirstByteMs * this.options.readingWeight : latePenaltyMs)
            + (isFull ? fullPenaltyMs : 0);
        return { score, choice: { endpoint, prediction, onTime, running: load.running } };
    }

    /** Whether the chosen endpoint would meet the time budget of the request's rank if nothing else ran there. */
    couldBeOnTime<C extends Candidate>(
        req: DispatchRequest,
        { prediction }: EndpointChoice<C>,
        now: number,
    ): boolean {
        return prediction.idleFirstByteMs <= this.firstByteBudgetMs(req, now);
    }

    /** Returns the better of two random endpoints among those that are nearly as good as the best one. */
    private chooseNearEqual<C extends Candidate>(
        best: ScoredChoice<C>,
        estimated: readonly ScoredChoice<C>[],
        req: DispatchRequest,
    ): EndpointChoice<C> {
        const limit = nearEqualBelow(best.score, req);
        const nearEquals = estimated.filter(({ score }) => score < limit);
        const [first = best, second = best] = [0, 1].map(() => nearEquals[this.random.nextInt(nearEquals.length)]);
        return (first.score <= second.score ? first : second).choice;
    }

    /** Returns the number of running requests at which an endpoint takes no more. */
    private fullAt<C extends Candidate>({ endpoint, prediction }: Pick<EndpointChoice<C>, "endpoint" | "prediction">) {
        return Math.min(endpoint.slots + this.options.overbooking, prediction.fullAt ?? Infinity);
    }

    private firstByteBudgetMs(req: DispatchRequest, now: number): number {
        const fractions = this.options.targetFractionByRank;
        const fraction = fractions[Math.min(req.rank, fractions.length - 1)] ?? 1;
        return (req.targetAt - now) * fraction;
    }

    private hasSpareCapacity<C extends Candidate>({ endpoint, prediction, running }: EndpointChoice<C>): boolean {
        return running < Math.min(endpoint.slots, prediction.fullAt ?? Infinity) / 2;
    }

    /** Adds jitter to a retry delay, so that callers that were refused together do not retry together. */
    private withJitter(ms: number): number {
        const { minRetryAfterMs, maxRetryAfterMs } = this.options;
        return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms) * (1 + this.random.next()));
    }
}

/** Returns the score below which endpoints are nearly as good as the best one, whose score is given. */
function nearEqualBelow(bestScore: number, { work }: DispatchRequest): number {
    const ratio = work === undefined ? nearEqualRatio : nearEqualPromptRatio;
    // The penalties of full and late endpoints are large, so that a worse kind of endpoint is never a near equal.
    const penaltyMs = penaltyOf(bestScore);
    return penaltyMs + Math.min(latePenaltyMs, (bestScore - penaltyMs) * ratio);
}

/** Returns the penalties for a full or late endpoint in a score. */
function penaltyOf(score: number): number {
    return Math.floor(score / latePenaltyMs) * latePenaltyMs;
}
