import type { CatalogRoute, CatalogWorkspace } from "@lentilramp/catalog";
import { type CallerHead, hasInvalidHeaderName } from "@lentilramp/exchange";
import type { EventFields } from "@lentilramp/runtime";
import type { IncomingMessage } from "node:http";
import type { FleetView } from "./fleet-view.ts";

/** Retry delay that a caller gets while no catalog is known to be the newest, in milliseconds. */
const notReadyRetryMs = 500;

/** Why and how a request is refused. */
export interface Refusal {
    status: number;
    reason: string;
    retryAfterMs?: number | undefined;
    /** False if the rest of the body is not to be read. */
    readsBody?: boolean;
    /** Inputs of the decision, for the log. */
    inputs?: EventFields;
}

/** Route and workspace of a request that may be served. */
export interface CheckedRequest {
    route: CatalogRoute;
    /** Undefined for a route that needs no key. */
    workspace: CatalogWorkspace | undefined;
}

const noCatalogRefusal: Refusal = { status: 503, reason: "no catalog yet", retryAfterMs: notReadyRetryMs };

/** Returns the refusal of every request while no catalog may be served with; undefined if the one in force may be. */
export function catalogRefusal(view: FleetView, now: number): Refusal | undefined {
    if (view.catalog === undefined) {
        return noCatalogRefusal;
    }
    if (view.lacksNewerCatalog) {
        return { status: 503, reason: "unreadable catalog", retryAfterMs: notReadyRetryMs };
    }
    return view.freshness.mayServe(now) ? undefined : unconfirmedRefusal(view, now);
}

/** Checks the head of a request against the catalog. */
export function checkRequest(
    req: IncomingMessage,
    head: CallerHead,
    view: FleetView,
    now: number,
): Refusal | CheckedRequest {
    if (hasInvalidHeaderName(req.rawHeaders)) {
        return { status: 400, reason: "malformed header" };
    }
    const { catalog, routes, workspaceKeys } = view;
    if (catalog === undefined || routes === undefined || workspaceKeys === undefined) {
        return noCatalogRefusal;
    }
    const unserved = catalogRefusal(view, now);
    if (unserved !== undefined) {
        return unserved;
    }
    if (head.timeoutMs !== undefined && head.timeoutMs <= 0) {
        return { status: 503, reason: "no time left" };
    }
    const route = routes.find(req.headers.host ?? "", req.url ?? "/");
    if (route === undefined) {
        return finalRefusal({ status: 404, reason: "no route" }, view, now);
    }
    const needsKey = !route.public && catalog.workspaces.length > 0;
    const workspace = needsKey ? workspaceKeys.find(head.apiKey) : undefined;
    if (needsKey && workspace === undefined) {
        return finalRefusal({ status: 401, reason: "unknown key" }, view, now);
    }
    return { route, workspace };
}

/**
 * Returns a refusal after which callers do not return, or a temporary one while a newer catalog, which this ingress has
 * not received, may allow the request.
 */
function finalRefusal(refusal: Refusal, view: FleetView, now: number): Refusal {
    return view.freshness.isConfirmed(now) ? refusal : unconfirmedRefusal(view, now);
}

function unconfirmedRefusal(view: FleetView, now: number): Refusal {
    return {
        status: 503,
        reason: "catalog not confirmed",
        retryAfterMs: notReadyRetryMs,
        inputs: { ...view.freshness.describe(now) },
    };
}
