import type { ExportBandwidth, ReclaimedStream, ReclaimNotice, ReclaimPlan, ReclaimStep } from "./reclaim-policy.ts";
import { kvTokensAfter, ReclaimPolicy, recomputeStep, tokensToRecompute } from "./reclaim-policy.ts";

/** Margins of the plan. */
export interface BudgetedReclaimOptions {
    /** Time kept free before the reclaim, for lagging clocks and for the last bytes on the way. */
    marginMs: number;
    /** Factor on the expected time of tokens, because steps take longer when others prefill. */
    slowdown: number;
}

export const defaultBudgetedReclaimOptions: BudgetedReclaimOptions = { marginMs: 200, slowdown: 1.1 };

// Streams whose value for each byte differs by less than this are ordered by their deadline.
const valueStep = 0.05;

/**
 * Lets streams finish that end in time, exports the rest by tokens saved for each byte and then by deadline until the
 * bandwidth is used up, and recomputes what is left.
 */
export class BudgetedReclaim extends ReclaimPolicy {
    constructor(private readonly options: BudgetedReclaimOptions = defaultBudgetedReclaimOptions) {
        super();
    }

    override plan(
        streams: readonly ReclaimedStream[],
        notice: ReclaimNotice,
        bandwidth: ExportBandwidth,
        now: number,
    ): ReclaimPlan {
        const usableUntil = notice.reclaimAt - this.options.marginMs;
        const steps: ReclaimStep[] = [];
        const candidates: ReclaimedStream[] = [];
        for (const stream of streams) {
            const endAt = now + stream.remainingTokens * stream.tokenIntervalMs * this.options.slowdown;
            // When a stream that still waits for its prefill will produce its first token is unknown.
            if (stream.uncomputedTokens === 0 && endAt <= usableUntil) {
                steps.push({ streamId: stream.id, action: "finish", startAt: now, endAt, recomputedTokens: 0 });
            }
            else {
                candidates.push(stream);
            }
        }
        let startAt = Math.max(now, bandwidth.busyUntil ?? now);
        for (const stream of candidates.sort((a, b) => this.compare(a, b))) {
            const bytes = kvTokensAfter(stream, startAt - now) * stream.kvBytesPerToken;
            const endAt = startAt + bytes / bandwidth.bytesPerSecond * 1_000;
            if (stream.canExport && endAt <= usableUntil && tokensToRecompute(stream) > 0) {
                steps.push({ streamId: stream.id, action: "export", startAt, endAt, recomputedTokens: 0 });
                startAt = endAt;
            }
            else {
                steps.push(recomputeStep(stream, now));
            }
        }
        return { reclaimAt: notice.reclaimAt, steps };
    }

    private compare(a: ReclaimedStream, b: ReclaimedStream): number {
        return valueOf(b) - valueOf(a) || a.deadline - b.deadline || (a.id < b.id ? -1 : 1);
    }
}

/** Tokens saved for each byte exported, relative to a stream of which nothing is cached elsewhere, in steps. */
function valueOf(stream: ReclaimedStream): number {
    return Math.round(tokensToRecompute(stream) / Math.max(1, kvTokensAfter(stream, 0)) / valueStep);
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
