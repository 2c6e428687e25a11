import { BoundLengthModel } from "./answer-length-model.ts";
import type { AnswerLengthModel } from "./answer-length-model.ts";
import type { ExportBandwidth, ReclaimedStream, ReclaimNotice, ReclaimPlan, ReclaimStep } from "./reclaim-policy.ts";
import { exportMs, ReclaimPolicy, tokensToExport, tokensToRecompute } from "./reclaim-policy.ts";

export interface BudgetedReclaimOptions {
    /** Time kept free before the reclaim: ten one-way delays (5 ms) of the longest link between failure domains. */
    marginMs: number;
    /** Factor on the expected time of tokens, because steps take longer when others prefill. */
    slowdownFactor: number;
    lengthModel: AnswerLengthModel;
}

export const defaultBudgetedReclaimOptions: BudgetedReclaimOptions = {
    marginMs: 50,
    slowdownFactor: 1.1,
    lengthModel: new BoundLengthModel(),
};

// Streams whose value for each byte differs by less than this are ordered by their deadline.
const valueStep = 0.05;

/**
 * Lets streams finish that end in time, exports the rest by the expected tokens saved for each byte and then by
 * deadline until the bandwidth is used up, and recomputes what is left.
 *
 * A stream that is to be recomputed goes on in place until the end of the usable time: it may end by then, and a later
 * recomputation is longer only by the prefill of what was produced meanwhile. The export that no longer fits is made in part where targets keep the leading tokens.
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
                // The endpoint has computed nothing of it that another one would have to compute again.
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
        const left: ReclaimedStream[] = [];
        let startAt = Math.max(now, bandwidth.busyUntil ?? now);
        for (const stream of candidates) {
            const endAt = startAt + exportMs(stream, tokensToExport(stream, startAt - now), bandwidth);
            if (stream.canExport && endAt <= usableUntil) {
                exports.push({ streamId: stream.id, action: "export", startAt, endAt, recomputedTokens: 0 });
                startAt = endAt;
            }
            else {
                left.push(stream);
            }
        }
        const partial = bandwidth.targetsKeepPartial ? left.find(stream => stream.canExport) : undefined;
        const recomputed = left.map((stream): ReclaimStep => {
            const tokens = tokensToRecompute(stream);
            const fitting = Math.floor((usableUntil - startAt) / exportMs(stream, 1, bandwidth));
            if (stream === partial && fitting > 0) {
                const recomputedTokens = Math.max(0, tokensToExport(stream, startAt - now) - fitting);
                return { streamId: stream.id, action: "export", startAt, endAt: usableUntil, recomputedTokens };
            }
            return {
                streamId: stream.id,
                action: "recompute",
                startAt: Math.max(now, usableUntil),
                endAt: Math.max(now, usableUntil),
                recomputedTokens: tokens,
            };
        });
        return [...exports, ...recomputed];
    }

    /**
     * Expected value of each exported byte: the probability that the stream does not end before the reclaim. Only
     * bytes of tokens that would be recomputed are exported, so the tokens saved for each byte do not differ otherwise
     * between streams of one model.
     */
    private valuePerByte(stream: ReclaimedStream, usableMs: number): number {
        const more = stream.uncomputedTokens > 0 ? 0 : usableMs / stream.tokenIntervalMs;
        const bound = stream.producedTokens + stream.remainingTokens;
        const survival = this.options.lengthModel.survival(stream.producedTokens, bound, more);
        return Math.round(survival / valueStep) / stream.kvBytesPerToken;
    }
}

/** The plan of the default policy. Plan again when an export ends or fails, with the streams that are left. */
export function planReclaim(
    streams: readonly ReclaimedStream[],
    notice: ReclaimNotice,
    bandwidth: ExportBandwidth,
    now: number,
): ReclaimPlan {
    return new BudgetedReclaim().plan(streams, notice, bandwidth, now);
}
