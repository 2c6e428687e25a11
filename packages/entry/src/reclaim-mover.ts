import type { Endpoint } from "@lentilramp/configuration";
import { readBody } from "@lentilramp/protocol";
import type { Clock, EventLog, Metrics } from "@lentilramp/runtime";
import { planReclaim, type ReclaimedStream, type ReclaimPlan, type ReclaimStep } from "@lentilramp/streams";
import { z } from "zod";
import type { ChatStream } from "./chat-stream.ts";
import type { EngineSelector } from "./engine-selector.ts";
import type { StreamTable } from "./stream-table.ts";
import type { UpstreamClient } from "./upstream.ts";

const answerLimitBytes = 65_536;
/** Time in which tokens that the engine sent before its pause arrive. */
const settleMs = 100;
const settlePollMs = 5;

const pushAnswerSchema = z.looseObject({ tokens: z.number(), bytes: z.number(), nextOffset: z.number() });

export interface ReclaimMoverOptions {
    /** Time from the first sign of a reclaim to the end of the instance, when no instant is known. */
    noticeMs: number;
    /** Export bandwidth of an engine, shared by all entries. */
    exportBytesPerSecond: number;
    /** Size of the KV cache of one token until an export has shown it. */
    kvBytesPerToken: number;
}

export const reclaimMoverDefaults: ReclaimMoverOptions = {
    noticeMs: 4_000,
    exportBytesPerSecond: 100e6,
    kvBytesPerToken: 1_024,
};

/** Moves the streams of an engine that is about to be reclaimed, as the reclaim plan says. */
export class ReclaimMover {
    private kvBytesPerToken: number;
    private readonly inProgress = new Set<string>();

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

    /** Handles the notice for one engine; `reclaimAt` is the instant at which it goes away, when it is known. */
    async onNotice(endpoint: Endpoint, reclaimAt?: number): Promise<void> {
        if (endpoint.kind !== "engine" || this.inProgress.has(endpoint.id)) {
            return;
        }
        this.inProgress.add(endpoint.id);
        try {
            await this.move(endpoint, reclaimAt ?? this.clock.now() + this.options.noticeMs);
        }
        finally {
            this.inProgress.delete(endpoint.id);
        }
    }

    private async move(endpoint: Endpoint, reclaimAt: number): Promise<void> {
        const streams = new Map(this.streams.atEndpoint(endpoint.id).map(stream => [stream.id, stream]));
        const plan = this.plan([...streams.values()], reclaimAt);
        const count = (action: string): number => plan.steps.filter(step => step.action === action).length;
        this.log.info("reclaim.plan", {
            endpoint: endpoint.id,
            finish: count("finish"),
            export: count("export"),
            recompute: count("recompute"),
        });
        const moved = (step: ReclaimStep): Promise<void> => {
            const stream = streams.get(step.streamId);
            return stream === undefined ? Promise.resolve() : this.carryOut(stream, step, endpoint, reclaimAt);
        };
        const exports = plan.steps.filter(step => step.action === "export");
        await Promise.all([
            ...plan.steps.filter(step => step.action === "recompute").map(moved),
            // Exports are made one after the other, because they share the bandwidth of the engine.
            exports.reduce((previous, step) => previous.then(() => moved(step)), Promise.resolve()),
        ]);
    }

    private async carryOut(
        stream: ChatStream,
        step: ReclaimStep,
        endpoint: Endpoint,
        reclaimAt: number,
    ): Promise<void> {
        if (step.action === "recompute") {
            // The stream goes on in place until then, since it may end by itself.
            await this.clock.sleepUntil(step.startAt);
        }
        if (stream.endpoint?.id !== endpoint.id) {
            return;
        }
        if (step.action === "export") {
            await this.export(stream, endpoint, reclaimAt);
        }
        else {
            stream.interrupt("reclaim: recomputed elsewhere");
        }
    }

    private plan(streams: readonly ChatStream[], reclaimAt: number): ReclaimPlan {
        const now = this.clock.now();
        // All entries export from the engine at the same time, so each plans with its share.
        const bytesPerSecond = this.options.exportBytesPerSecond / Math.max(1, this.entryCount());
        return planReclaim(streams.map(stream => this.describe(stream, now)), { reclaimAt }, {
            bytesPerSecond,
            targetsKeepPartial: false,
        }, now);
    }

    private describe(stream: ChatStream, now: number): ReclaimedStream {
        return {
            id: stream.id,
            promptTokens: stream.engineRequest.promptTokens,
            producedTokens: stream.assembler.nextOffset,
            remainingTokens: stream.remainingTokens,
            tokenIntervalMs: stream.tokenIntervalMs(now),
            kvBytesPerToken: this.kvBytesPerToken,
            // The prompt of a stream that has produced a token is computed completely.
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
            // No endpoint is predicted to be fast enough, so the stream is recomputed where it can be.
            return undefined;
        }
    }

    private async export(stream: ChatStream, from: Endpoint, reclaimAt: number): Promise<void> {
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
            const text = (await readBody(res, answerLimitBytes)).toString("utf8");
            const { tokens, bytes, nextOffset } = pushAnswerSchema.parse(JSON.parse(text));
            this.kvBytesPerToken = tokens > 0 ? bytes / tokens : this.kvBytesPerToken;
            await this.settle(stream, nextOffset);
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

    /** Waits for the tokens that the engine sent before the pause; a missing one is produced again by the target. */
    private async settle(stream: ChatStream, nextOffset: number): Promise<void> {
        const until = this.clock.now() + settleMs;
        while (stream.assembler.nextOffset < nextOffset && this.clock.now() < until) {
            await this.clock.sleepUntil(this.clock.now() + settlePollMs);
        }
    }
}
