import { type CatalogRoute, type CatalogWorkspace, drawService } from "@lentilramp/catalog";
import type { DispatchRequest } from "@lentilramp/dispatch";
import type { CallerHead, HeaderCodec } from "@lentilramp/exchange";
import { CapMeter, type RequestSuspects, sharedParts, type StreamOrigin } from "@lentilramp/fleet";
import { BodyTooLargeError, ClientRefusedError, readBody, type ReadScheduler } from "@lentilramp/protocol";
import type { Clock, EventLog, Metrics, RandomSource } from "@lentilramp/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerConnections } from "./caller-connections.ts";
import type { CallerExchange } from "./caller-cuts.ts";
import { type CheckedRequest, checkRequest, type Refusal } from "./check-request.ts";
import { decideOnSuspects, toRefusal } from "./crash-gate.ts";
import type { FleetView } from "./fleet-view.ts";
import type { PlannedStop } from "./planned-stop.ts";
import { sendRefusal, stoppingRetryMs } from "./refusal.ts";
import { requestDeadline } from "./request-deadline.ts";
import { fingerprintRequest } from "./request-fingerprint.ts";
import type { RoomGate } from "./room-gate.ts";
import { findOrigin, takesStreamUp } from "./stream-take-up.ts";

/** Longest retry delay that a caller gets when its workspace is over the cap, in milliseconds, before the jitter. */
const maxCapRetryMs = 2_000;
/** Time for which the body of a refused request is read before its connection is closed, in milliseconds. */
const refusedBodyMs = 1_000;
/** Retry delay of a caller whose stream has an unknown origin, in milliseconds; the report of it may be on its way. */
const unknownOriginRetryMs = 300;
const unknownOriginRefusal: Refusal = {
    status: 503,
    reason: "unknown origin of the stream",
    retryAfterMs: unknownOriginRetryMs,
};
const stoppingRefusal: Refusal = { status: 503, reason: "stopping", retryAfterMs: stoppingRetryMs };

/** A request that has passed admission. */
export interface AdmittedRequest {
    req: IncomingMessage;
    res: ServerResponse;
    caller: CallerExchange;
    head: CallerHead;
    body: Buffer;
    route: CatalogRoute;
    workspace: CatalogWorkspace | undefined;
    /** What the request is known by when endpoints crash under it; undefined if the policy switches that off. */
    suspects: RequestSuspects | undefined;
    dispatch: DispatchRequest;
    /** Where the stream began that the caller takes up; undefined for any other request. */
    origin: StreamOrigin | undefined;
    /** Units taken from the workspace's cap. */
    units: number;
}

/** Parts of an ingress that the admission uses. */
export interface AdmissionContext {
    view: FleetView;
    headerCodec: HeaderCodec;
    clock: Clock;
    log: EventLog;
    metrics: Metrics;
    stop: PlannedStop;
    connections: CallerConnections;
    readScheduler: ReadScheduler;
    roomGate: RoomGate;
}

/** Checks route, API key and cap of callers' requests, reads their bodies, and refuses those that it does not admit. */
export class Admission {
    constructor(private readonly ctx: AdmissionContext, private readonly random: RandomSource) {}

    /** Resolves with the admitted request, or undefined once it has been refused. Rejects if it cannot be read. */
    async admit(
        req: IncomingMessage,
        res: ServerResponse,
        caller: CallerExchange,
        arrivedAt: number,
    ): Promise<AdmittedRequest | undefined> {
        const head = this.ctx.headerCodec.decodeCallerHead(req.headers);
        const refuse = (refusal: Refusal): Promise<void> => this.refuse(req, res, head, refusal);
        const checked = this.check(req, head);
        if ("status" in checked) {
            await refuse(checked);
            return undefined;
        }
        const { route, workspace } = checked;
        let body: Buffer | "answers due";
        try {
            const limitBytes = this.ctx.view.catalog?.limits.maxBodyBytes ?? 0;
            body = await this.ctx.stop.waitFor(readBody(req, limitBytes, this.ctx.readScheduler));
        }
        catch (err) {
            if (err instanceof BodyTooLargeError) {
                await refuse({ status: 413, reason: "body too large" });
                return undefined;
            }
            if (err instanceof ClientRefusedError) {
                const { status, reason, retryAfterMs } = err;
                await refuse({ status, reason, retryAfterMs, readsBody: false });
                return undefined;
            }
            throw err;
        }
        if (body === "answers due") {
            await refuse(stoppingRefusal);
            return undefined;
        }
        const suspects = this.ctx.view.crashes && {
            request: fingerprintRequest({
                workspace: workspace?.name ?? "",
                method: req.method ?? "GET",
                host: req.headers.host ?? "",
                target: req.url ?? "/",
                body,
            }),
            parts: sharedParts(head.work?.parts ?? []),
        };
        const crashRefusal = decideOnSuspects(suspects, this.ctx.view, this.ctx.clock.now());
        if (crashRefusal !== undefined) {
            await refuse(toRefusal(crashRefusal));
            return undefined;
        }
        const takesUp = takesStreamUp(head, route);
        const origin = takesUp ? await findOrigin(head, route, workspace?.name ?? "", this.ctx.view) : undefined;
        if (takesUp && origin === undefined) {
            await refuse(unknownOriginRefusal);
            return undefined;
        }
        const declared = head.work === undefined ? undefined : head.work.promptTokens + head.work.maxOutputTokens;
        const units = workspace === undefined ? 0 : CapMeter.requestUnits(workspace, declared);
        const now = this.ctx.clock.now();
        if (workspace !== undefined) {
            const verdict = this.ctx.view.caps.tryUse(workspace, units, now);
            if (!verdict.admitted) {
                const retryAfterMs = Math.min(verdict.retryAt - now, maxCapRetryMs) * (1 + this.random.next() * 0.5);
                await refuse({
                    status: 429,
                    reason: "usage cap",
                    retryAfterMs,
                    inputs: {
                        workspace: workspace.name,
                        units,
                        level: Math.round(verdict.level),
                        capPerSecond: workspace.capPerSecond,
                        part: this.ctx.view.caps.capShare(now).toFixed(2),
                    },
                });
                return undefined;
            }
        }
        const admitted: AdmittedRequest = {
            req,
            res,
            caller,
            head,
            body,
            route,
            workspace,
            suspects,
            origin,
            units,
            dispatch: {
                id: head.attemptId ?? "",
                service: origin?.service ?? drawService(route, this.random),
                workspace: workspace?.name ?? "",
                rank: workspace?.rank ?? route.rank,
                arrivedAt,
                targetAt: arrivedAt + route.firstByteTargetMs,
                deadline: requestDeadline(arrivedAt, head, route),
                work: head.work,
            },
        };
        const levelRefusal = this.ctx.roomGate.decide(admitted);
        if (levelRefusal !== undefined) {
            await refuse(levelRefusal);
            return undefined;
        }
        return admitted;
    }

    private check(req: IncomingMessage, head: CallerHead): Refusal | CheckedRequest {
        const now = this.ctx.clock.now();
        return this.ctx.stop.takesNone(now)
            ? stoppingRefusal
            : checkRequest(req, head, this.ctx.view, now);
    }

    /**
     * Logs and sends a refusal. Reads the request's body first, so that the connection can be kept, unless the body
     * takes long or a planned stop leaves no time for that.
     */
    private async refuse(
        req: IncomingMessage,
        res: ServerResponse,
        head: CallerHead,
        refusal: Refusal,
    ): Promise<void> {
        this.ctx.metrics.count("refusals", 1, { reason: refusal.reason });
        this.ctx.log.info("request.refused", {
            id: head.attemptId,
            status: refusal.status,
            reason: refusal.reason,
            catalog: this.ctx.view.catalog?.version,
            read: req.complete,
            ...refusal.inputs,
        });
        // The events of a connection that has closed are over.
        if (!req.complete && !req.destroyed && refusal.readsBody !== false) {
            req.resume();
            const { clock } = this.ctx;
            await this.ctx.stop.waitFor(
                new Promise<void>(resolve => {
                    const timer = clock.schedule(clock.now() + refusedBodyMs, resolve);
                    for (const event of ["end", "close"]) {
                        req.once(event, () => {
                            timer.cancel();
                            resolve();
                        });
                    }
                }),
            );
        }
        const close = this.ctx.connections.closesAfter(res);
        sendRefusal(res, refusal.status, refusal.reason, refusal.retryAfterMs, close);
    }
}
