import type { CatalogRoute } from "@lentilramp/catalog";
import {
    type Dispatcher,
    type DispatchPreview,
    type DispatchRequest,
    type EndpointChoice,
    type LatencyModel,
    type RankedChoice,
} from "@lentilramp/dispatch";
import type { WhereAnswer, WhereCase, WhereEndpoint, WhereRequest } from "@lentilramp/exchange";
import { type Endpoint, sharedParts, versionOf } from "@lentilramp/fleet";
import { RpcError, rpcErrorCodes } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";
import { catalogRefusal, type Refusal } from "./check-request.ts";
import { toRefusal } from "./crash-gate.ts";
import type { ServiceCandidates } from "./endpoint-candidates.ts";
import type { FleetView } from "./fleet-view.ts";
import type { LimitGate } from "./limit-gate.ts";
import type { PlannedStop } from "./planned-stop.ts";
import type { ReachMonitor } from "./reach-monitor.ts";
import { blockedRetryMs, stoppingRetryMs } from "./refusal.ts";
import { requestDeadline } from "./request-deadline.ts";
import type { RoomGate } from "./room-gate.ts";
import type { VersionPredicate } from "./version-parts.ts";
import { decideByVersion } from "./version-preference.ts";
import type { RequestVersions, VersionSplit } from "./version-split.ts";

/** Endpoints of one service that an answer lists; 1,000 of them take 344 KB of the message. */
const maxEndpoints = 1_000;

/** Parts of an ingress that a preview reads. */
export interface PreviewContext {
    view: FleetView;
    clock: Clock;
    dispatcher: Dispatcher;
    readonly limitGate: Pick<LimitGate, "preview">;
    readonly roomGate: Pick<RoomGate, "preview">;
    readonly versionSplit: Pick<VersionSplit, "outcomes"> | undefined;
    readonly stop: Pick<PlannedStop, "begun" | "takesNone">;
    readonly reach: Pick<ReachMonitor, "isCutOff">;
    modelSnapshot(service: string): LatencyModel;
    queuedAhead(req: DispatchRequest): number;
    candidatePool(service: string, mayUse?: VersionPredicate): ServiceCandidates;
    candidateObstacle(endpoint: Endpoint): string | undefined;
}

type EndpointState = "ready" | "leaving" | "not-ready";

type Decided = DispatchPreview<Endpoint> & { kind: string; choice: EndpointChoice<Endpoint> | undefined; };

interface Outcome {
    share: number;
    to?: "target" | "others";
    versions?: RequestVersions;
}

/**
 * Tells where a request that came now would be sent, and why. It asks the parts that decide on requests, and only reads
 * them: nothing is sent, drawn, counted or stored. What depends on a draw is told for each outcome of it. Keys and caps
 * of workspaces are not looked at.
 */
export class RequestPreview {
    constructor(private readonly ctx: PreviewContext, private readonly name: string) {}

    /** Throws an RpcError if the request names something that the configuration does not contain. */
    describe(req: WhereRequest): WhereAnswer {
        const { view, clock, stop, reach } = this.ctx;
        const { catalog } = view;
        const now = clock.now();
        if (catalog === undefined) {
            throw new RpcError("rejected", "the ingress has no configuration yet", rpcErrorCodes.unavailable);
        }
        const route = catalog.routes.find(({ name }) => name === req.route);
        if (route === undefined) {
            throw invalid(`unknown route ${req.route}; configuration ${catalog.version} has no such route`);
        }
        const workspace = catalog.workspaces.find(({ name }) => name === req.workspace);
        if (req.workspace !== undefined && workspace === undefined) {
            throw invalid(`unknown workspace ${req.workspace}; configuration ${catalog.version} has no such workspace`);
        }
        const rank = req.rank ?? workspace?.rank ?? route.rank;
        const refusal = this.refusal(req, now);
        const totalWeight = route.targets.reduce((sum, { weight }) => sum + weight, 0);
        return {
            ingress: { name: this.name, ready: view.ready, stopping: stop.begun, cutOff: reach.isCutOff },
            catalogVersion: catalog.version,
            route: route.name,
            workspace: workspace?.name,
            rank,
            refusal: refusal && {
                status: refusal.status,
                reason: refusal.reason,
                retryAfterMs: refusal.retryAfterMs,
            },
            cases: route.targets.filter(({ weight }) => weight > 0).flatMap(({ service, weight }) => {
                const dispatch = toDispatch(req, route, service, rank, now);
                return this.cases(dispatch, weight / totalWeight, now);
            }),
        };
    }

    private refusal({ sizeBytes = 0, parts }: WhereRequest, now: number): Refusal | undefined {
        const { view, stop } = this.ctx;
        if (stop.takesNone(now)) {
            return { status: 503, reason: "stopping", retryAfterMs: stoppingRetryMs };
        }
        const unserved = catalogRefusal(view, now);
        if (unserved !== undefined) {
            return unserved;
        }
        if (sizeBytes > (view.catalog?.limits.maxBodyBytes ?? 0)) {
            return { status: 413, reason: "body too large" };
        }
        const suspect = view.crashes?.blockingPart(sharedParts(parts));
        return suspect === undefined
            ? undefined
            : toRefusal({ reason: "blocked-part", suspect, retryAfterMs: blockedRetryMs });
    }

    /** Returns one case for each outcome of the draw of the version. */
    private cases(dispatch: DispatchRequest, share: number, now: number): WhereCase[] {
        const { service } = dispatch;
        const { ctx } = this;
        const model = ctx.modelSnapshot(service);
        const queuedAhead = ctx.queuedAhead(dispatch);
        // The level looks at the endpoints of all versions.
        const [best] = ctx.dispatcher.preview(dispatch, ctx.candidatePool(service), model, now).ranking;
        const level = ctx.roomGate.preview(dispatch, best?.choice);
        const outcomes: readonly Outcome[] = ctx.versionSplit?.outcomes(service) ?? [{ share: 1 }];
        return outcomes.map(({ share: ofVersion, to, versions }) => {
            const mayUse = (endpoint: Endpoint): boolean => versions?.mayUse(endpoint, undefined) !== false;
            const decided = decideByVersion<Decided>(
                ctx.candidatePool(service, mayUse),
                versions,
                ctx.view.loads,
                now,
                among => {
                    const preview = ctx.dispatcher.preview(dispatch, among, model, now, queuedAhead);
                    const { decision } = preview;
                    return {
                        ...preview,
                        kind: decision.kind,
                        choice: decision.kind === "send" ? decision.choice : undefined,
                    };
                },
            );
            const { endpoints, omitted } = this.endpoints(dispatch, decided.ranking, mayUse, model, now);
            return {
                service,
                share: share * ofVersion,
                rollout: to,
                level,
                queuedAhead,
                decision: this.decision(dispatch, decided, mayUse, now),
                choice: decided.ranking[0]?.choice.endpoint.id,
                endpoints,
                omitted,
            };
        });
    }

    private decision(
        dispatch: DispatchRequest,
        { decision }: Decided,
        mayUse: (endpoint: Endpoint) => boolean,
        now: number,
    ): WhereCase["decision"] {
        const limited = decision.kind === "refuse" && decision.reason === "no-endpoint"
            ? this.ctx.limitGate.preview(dispatch, mayUse)
            : undefined;
        if (limited !== undefined) {
            return limited.kind === "wait"
                ? { kind: "wait", reason: "endpoint-limit", waitMs: limited.waitUntil - now }
                : { kind: "refuse", reason: "endpoint-limit" };
        }
        switch (decision.kind) {
            case "send":
                return { kind: "send" };
            case "wait":
                return { kind: "wait", waitMs: decision.waitUntil - now };
            case "refuse":
                return { kind: "refuse", reason: decision.reason, retryAfterMs: decision.retryAfterMs };
        }
    }

    /**
     * Describes the listed endpoints of the service: those that are ranked, best first, and those that are excluded. At
     * most `maxEndpoints`; the others are counted.
     */
    private endpoints(
        { service }: DispatchRequest,
        ranking: readonly RankedChoice<Endpoint>[],
        mayUse: (endpoint: Endpoint) => boolean,
        model: LatencyModel,
        now: number,
    ): Pick<WhereCase, "endpoints" | "omitted"> {
        const { endpoints } = this.ctx.view;
        const ranked = new Set(ranking.map(({ choice }) => choice.endpoint.id));
        const excluded = endpoints.all.filter(entry => entry.service === service && !ranked.has(entry.id));
        const available = new Set(endpoints.readyEndpoints(service).map(({ id }) => id));
        const describeState = (endpoint: Endpoint): EndpointState =>
            !endpoint.ready ? "not-ready" : available.has(endpoint.id) ? "ready" : "leaving";
        return {
            endpoints: [
                ...ranking.slice(0, maxEndpoints).map(entry =>
                    this.describeEndpoint(
                        entry.choice.endpoint,
                        describeState(entry.choice.endpoint),
                        model,
                        now,
                        rankVerdict(entry),
                        entry,
                    )
                ),
                ...excluded.slice(0, Math.max(0, maxEndpoints - ranking.length)).map(endpoint => {
                    const state = describeState(endpoint);
                    const verdict = state === "ready" ? this.exclusion(endpoint, mayUse, now) : state;
                    return this.describeEndpoint(endpoint, state, model, now, verdict);
                }),
            ],
            omitted: Math.max(0, ranking.length + excluded.length - maxEndpoints),
        };
    }

    private describeEndpoint(
        endpoint: Endpoint,
        state: EndpointState,
        { pace }: LatencyModel,
        now: number,
        verdict: string,
        entry?: RankedChoice<Endpoint>,
    ): WhereEndpoint {
        const { id, failureDomain, slots } = endpoint;
        const { view } = this.ctx;
        const { running, unreadTokens } = view.loads.load(id, now);
        const factor = pace?.factor(id);
        const evidenceAt = pace?.evidenceAt(id);
        return {
            id,
            failureDomain,
            version: versionOf(endpoint),
            state,
            running,
            unreadTokens,
            slots,
            estimate: factor === undefined ? undefined : {
                factor,
                fullAt: pace?.fullAt(id),
                ageMs: evidenceAt === undefined ? undefined : now - evidenceAt,
            },
            prediction: entry && {
                firstByteMs: entry.choice.prediction.firstByteMs,
                idleFirstByteMs: entry.choice.prediction.idleFirstByteMs,
                unreadTokens: entry.choice.prediction.unreadTokens,
                onTime: entry.choice.onTime,
                score: entry.score,
            },
            verdict,
        };
    }

    private exclusion(endpoint: Endpoint, mayUse: (endpoint: Endpoint) => boolean, now: number): string {
        return this.ctx.candidateObstacle(endpoint)
            ?? (mayUse(endpoint) ? undefined : "version")
            ?? this.ctx.view.health.obstacle(endpoint.id, now)
            // A usable endpoint is left out only while the new version has a free slot.
            ?? "version-not-preferred";
    }
}

function rankVerdict({ mayBeChosen, isFull, choice }: RankedChoice<Endpoint>): string {
    if (mayBeChosen) {
        return "may-be-chosen";
    }
    return isFull ? "full" : choice.onTime ? "slower" : "late";
}

function toDispatch(
    { workspace = "", promptTokens, parts }: WhereRequest,
    route: CatalogRoute,
    service: string,
    rank: number,
    now: number,
): DispatchRequest {
    const work = promptTokens === undefined && parts.length === 0 ? undefined : {
        parts,
        promptTokens: promptTokens ?? parts.reduce((sum, { tokens }) => sum + tokens, 0),
        maxOutputTokens: 0,
        outputTokens: 0,
    };
    return {
        id: "",
        service,
        workspace,
        rank,
        arrivedAt: now,
        targetAt: now + route.firstByteTargetMs,
        deadline: requestDeadline(now, { timeoutMs: undefined }, route),
        work,
    };
}

function invalid(message: string): RpcError {
    return new RpcError("rejected", message, rpcErrorCodes.invalidRequest);
}
