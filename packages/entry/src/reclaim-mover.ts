import type { Endpoint } from "@lentilramp/configuration";
import { readResponseBody } from "@lentilramp/protocol";
import type { Clock, EventLog, Metrics } from "@lentilramp/runtime";
import { planReclaim, type ReclaimedStream, type ReclaimPlan, type ReclaimStep } from "@lentilramp/streams";
import { z } from "zod";
import type { ChatStream } from "./chat-stream.ts";
import type { EngineSelector } from "./engine-selector.ts";
import type { StreamTable } from "./stream-table.ts";
import type { UpstreamClient } from "./upstream.ts";

const answerLimitBytes = 65_536;
/** Longest wait for the tokens that the engine sent before it paused the stream. */
const tokensInTransitWaitMs = 100;
const tokensInTransitPollMs = 5;

const pushAnswerSchema = z.looseObject({ tokens: z.number(), bytes: z.number(), nextOffset: z.number() });

export interface ReclaimMoverOptions {
    /** Time from the notice of a reclaim until the instance ends, used when the notice contains no time. */
    noticeMs: number;
    /** Export bandwidth of an engine, which all entries share. */
    exportBytesPerSecond: number;
    /** Size of the KV cache per token, used until the first export gives the actual size. */
    kvBytesPerToken: number;
}

export const reclaimMoverDefaults: ReclaimMoverOptions = {
    noticeMs: 4_000,
    exportBytesPerSecond: 100e6,
    kvBytesPerToken: 1_024,
};

/** Moves the streams of an engine that is about to be reclaimed, according to a reclaim plan. */
export class ReclaimMover {
    private kvBytesPerToken: number;
    private readonly endpointsInProgress = new Set<string>();

    constructor(
        private readonly streams: StreamTable,
        private readonly selector: EngineSelector,
        private readonly upstream: UpstreamClient,
        private readonly entryCount: () => number,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
        private readonly options: ReclaimMoverOptions = reclaimMoverDefaults,
    ) {
        this.kvBytesPerToken = options.kvBytesPerToken;
    }

    /** Handles the reclaim notice of an engine. `reclaimAt` is the time at which the instance ends, if known. */
    async onNotice(endpoint: Endpoint, reclaimAt?: number): Promise<void> {
        if (endpoint.kind !== "engine" || this.endpointsInProgress.has(endpoint.id)) {
            return;
        }
        this.endpointsInProgress.add(endpoint.id);
        try {
            await this.moveStreams(endpoint, reclaimAt ?? this.clock.now() + this.options.noticeMs);
        }
        finally {
            this.endpointsInProgress.delete(endpoint.id);
        }
    }

    private async moveStreams(endpoint: Endpoint, reclaimAt: number): Promise<void> {
        const streams = new Map(this.streams.atEndpoint(endpoint.id).map(stream => [stream.id, stream]));
        const plan = this.createPlan([...streams.values()], reclaimAt);
        const count = (action: string): number => plan.steps.filter(step => step.action === action).length;
        this.log.info("reclaim.plan", {
            endpoint: endpoint.id,
            finish: count("finish"),
            export: count("export"),
            recompute: count("recompute"),
        });
        const moveStream = (step: ReclaimStep): Promise<void> => {
            const stream = streams.get(step.streamId);
            return stream === undefined ? Promise.resolve() : this.runStep(stream, step, endpoint, reclaimAt);
        };
        const exports = plan.steps.filter(step => step.action === "export");
        await Promise.all([
            ...plan.steps.filter(step => step.action === "recompute").map(moveStream),
            // Exports run one after the other, because they share the bandwidth of the engine.
            exports.reduce((previous, step) => previous.then(() => moveStream(step)), Promise.resolve()),
        ]);
    }

    private async runStep(
        stream: ChatStream,
        step: ReclaimStep,
        endpoint: Endpoint,
        reclaimAt: number,
    ): Promise<void> {
        if (step.action === "recompute") {
            // Until then the stream continues at its endpoint, since it may complete there.
            await this.clock.sleepUntil(step.startAt);
        }
        if (stream.endpoint?.id !== endpoint.id) {
            return;
        }
        if (step.action === "export") {
            await this.exportStream(stream, endpoint, reclaimAt);
        }
        else {
            stream.interrupt("reclaim: recomputed elsewhere");
        }
    }

    private createPlan(streams: readonly ChatStream[], reclaimAt: number): ReclaimPlan {
        const now = this.clock.now();
        // All entries export from the engine at the same time, so each plans with its share of the bandwidth.
        const bytesPerSecond = this.options.exportBytesPerSecond / Math.max(1, this.entryCount());
        return planReclaim(streams.map(stream => this.toReclaimedStream(stream, now)), { reclaimAt }, {
            bytesPerSecond,
            targetsKeepPartial: false,
        }, now);
    }

    private toReclaimedStream(stream: ChatStream, now: number): ReclaimedStream {
        return {
            id: stream.id,
            promptTokens: stream.engineRequest.promptTokens,
            producedTokens: stream.assembler.nextOffset,
            remainingTokens: stream.remainingTokens,
            tokenIntervalMs: stream.tokenIntervalMs(now),
            kvBytesPerToken: this.kvBytesPerToken,
            // Once a stream has produced a token, its whole prompt is computed.
            uncomputedTokens: stream.assembler.nextOffset > 0 ? 0 : stream.engineRequest.promptTokens,
            targetCachedTokens: 0,
            deadline: stream.context.deadline,
            canExport: this.selectTarget(stream) !== undefined,
        };
    }

    private selectTarget(stream: ChatStream): Endpoint | undefined {
        const excluded = new Set(stream.endpoint === undefined ? [] : [stream.endpoint.id]);
        try {
            return this.selector.choose({ ...stream.engineRequest, excluded }, undefined, this.clock.now());
        }
        catch {
            // No endpoint is predicted to meet the deadline, so the stream is recomputed instead of exported.
            return undefined;
        }
    }

    private async exportStream(stream: ChatStream, from: Endpoint, reclaimAt: number): Promise<void> {
        const target = this.selectTarget(stream);
        const requestId = stream.requestId;
        if (target === undefined || requestId === undefined) {
            stream.interrupt("reclaim: no target for the KV cache");
            return;
        }
        const kvId = `${requestId}-moved`;
        try {
            const res = await this.upstream.send({
                endpoint: from,
                method: "POST",
                path: `/v1/kv/${encodeURIComponent(requestId)}/push`,
                headers: {},
                body: JSON.stringify({ host: target.host, port: target.port, targetId: kvId, pause: true }),
                deadline: reclaimAt,
            });
            const text = (await readResponseBody(res, answerLimitBytes)).toString("utf8");
            const { tokens, bytes, nextOffset } = pushAnswerSchema.parse(JSON.parse(text));
            this.kvBytesPerToken = tokens > 0 ? bytes / tokens : this.kvBytesPerToken;
            await this.waitForTokensInTransit(stream, nextOffset);
            if (stream.requestId === requestId) {
                stream.moveTo({ endpoint: target, kvId, tokens });
                this.metrics.count("streams.moved");
                this.log.info("stream.moved", { stream: stream.id, from: from.id, to: target.id, tokens });
            }
        }
        catch (err) {
            this.log.info("reclaim.export-failed", { stream: stream.id, endpoint: from.id, error: String(err) });
            if (stream.requestId === requestId) {
                stream.interrupt("reclaim: the export failed");
            }
        }
    }

    /** Waits for the tokens that the engine sent before the pause. The target generates missing tokens again. */
    private async waitForTokensInTransit(stream: ChatStream, nextOffset: number): Promise<void> {
        const waitUntil = this.clock.now() + tokensInTransitWaitMs;
        while (stream.assembler.nextOffset < nextOffset && this.clock.now() < waitUntil) {
            await this.clock.sleepUntil(this.clock.now() + tokensInTransitPollMs);
        }
    }
}
