import { BoundLengthModel } from "./answer-length-model.ts";
import type { AnswerLengthModel } from "./answer-length-model.ts";
import type { ExportBandwidth, ReclaimedStream, ReclaimNotice, ReclaimPlan, ReclaimStep } from "./reclaim-policy.ts";
import { exportMs, ReclaimPolicy, tokensToExport, tokensToRecompute } from "./reclaim-policy.ts";

export interface BudgetedReclaimOptions {
    /** Reserve before the reclaim: ten one-way delays (5 ms) of the longest link between failure domains. */
    marginMs: number;
    /** Factor on the expected time per token, because generation steps take longer while other requests prefill. */
    slowdownFactor: number;
    lengthModel: AnswerLengthModel;
}

export const defaultBudgetedReclaimOptions: BudgetedReclaimOptions = {
    marginMs: 50,
    slowdownFactor: 1.1,
    lengthModel: new BoundLengthModel(),
};

/** Survival probabilities are rounded to multiples of this, so that streams of similar value are sorted by deadline. */
const valueRounding = 0.05;

/**
 * Lets streams finish that end in time, exports the others in the order of expected tokens saved per byte and then of
 * deadlines until the bandwidth is used up, and recomputes the rest.
 *
 * A stream that is to be recomputed continues on its endpoint until the end of the usable time: it may finish by then,
 * and a later recomputation is longer only by the prefill of the tokens produced meanwhile. The first export that no
 * longer fits is made in part if targets keep the leading tokens of a partial export.
 */
export class BudgetedReclaim extends ReclaimPolicy {
    private readonly options: BudgetedReclaimOptions;

    constructor(options: Partial<BudgetedReclaimOptions> = {}) {
        super();
        this.options = { ...defaultBudgetedReclaimOptions, ...options };
    }

    override plan(
        streams: readonly ReclaimedStream[],
        notice: ReclaimNotice,
        bandwidth: ExportBandwidth,
        now: number,
    ): ReclaimPlan {
        const usableUntil = notice.reclaimAt - this.options.marginMs;
        const steps: ReclaimStep[] = [];
        const candidates: { stream: ReclaimedStream; value: number; }[] = [];
        for (const stream of streams) {
            const endAt = now + stream.remainingTokens * stream.tokenIntervalMs * this.options.slowdownFactor;
            if (stream.uncomputedTokens > 0 && tokensToRecompute(stream) === 0) {
                // The endpoint has computed no token of the stream that another endpoint would have to recompute.
                steps.push({ streamId: stream.id, action: "recompute", startAt: now, endAt: now, recomputedTokens: 0 });
            }
            else if (stream.uncomputedTokens === 0 && endAt <= usableUntil) {
                steps.push({ streamId: stream.id, action: "finish", startAt: now, endAt, recomputedTokens: 0 });
            }
            else {
                candidates.push({ stream, value: this.valuePerByte(stream, usableUntil - now) });
            }
        }
        candidates.sort((a, b) =>
            b.value - a.value || a.stream.deadline - b.stream.deadline || (a.stream.id < b.stream.id ? -1 : 1)
        );
        steps.push(...this.planExports(candidates.map(({ stream }) => stream), usableUntil, bandwidth, now));
        return { reclaimAt: notice.reclaimAt, steps };
    }

    private planExports(
        candidates: readonly ReclaimedStream[],
        usableUntil: number,
        bandwidth: ExportBandwidth,
        now: number,
    ): ReclaimStep[] {
        const exports: ReclaimStep[] = [];
        const notExported: ReclaimedStream[] = [];
        let startAt = Math.max(now, bandwidth.busyUntil ?? now);
        for (const stream of candidates) {
            const endAt = startAt + exportMs(stream, tokensToExport(stream, startAt - now), bandwidth);
            if (stream.canExport && endAt <= usableUntil) {
                exports.push({ streamId: stream.id, action: "export", startAt, endAt, recomputedTokens: 0 });
                startAt = endAt;
            }
            else {
                notExported.push(stream);
            }
        }
        const partialExport = bandwidth.targetsKeepPartial ? notExported.find(stream => stream.canExport) : undefined;
        const recomputed = notExported.map((stream): ReclaimStep => {
            const tokensToCompute = tokensToRecompute(stream);
            const fittingTokens = Math.floor((usableUntil - startAt) / exportMs(stream, 1, bandwidth));
            if (stream === partialExport && fittingTokens > 0) {
                const recomputedTokens = Math.max(0, tokensToExport(stream, startAt - now) - fittingTokens);
                return { streamId: stream.id, action: "export", startAt, endAt: usableUntil, recomputedTokens };
            }
            return {
                streamId: stream.id,
                action: "recompute",
                startAt: Math.max(now, usableUntil),
                endAt: Math.max(now, usableUntil),
                recomputedTokens: tokensToCompute,
            };
        });
        return [...exports, ...recomputed];
    }

    /**
     * Returns the expected number of tokens saved per exported byte, up to a constant factor: the rounded probability
     * that the stream does not end before the reclaim, divided by the bytes per token. Only tokens that would be
     * recomputed are exported, so streams of one model differ in nothing else.
     */
    private valuePerByte(stream: ReclaimedStream, usableMs: number): number {
        const furtherTokens = stream.uncomputedTokens > 0 ? 0 : usableMs / stream.tokenIntervalMs;
        const boundTokens = stream.producedTokens + stream.remainingTokens;
        const survival = this.options.lengthModel.survival(stream.producedTokens, boundTokens, furtherTokens);
        return Math.round(survival / valueRounding) / stream.kvBytesPerToken;
    }
}

/** Plans with the default policy. The caller plans again for the remaining streams when an export ends or fails. */
export function planReclaim(
    streams: readonly ReclaimedStream[],
    notice: ReclaimNotice,
    bandwidth: ExportBandwidth,
    now: number,
): ReclaimPlan {
    return new BudgetedReclaim().plan(streams, notice, bandwidth, now);
}
