import type { CatalogRoute } from "@lentilramp/catalog";
import type { CallerHead } from "@lentilramp/exchange";
import { type Endpoint, originKey, ownRecord, type StreamOrigin, versionOf } from "@lentilramp/fleet";
import type { AdmittedRequest } from "./admission.ts";
import type { FleetView } from "./fleet-view.ts";

/** Whether a request takes up a stream of which its caller has events. */
export function takesStreamUp(head: CallerHead, route: CatalogRoute): boolean {
    return route.execution === "stream" && route.resumable && head.lastEventId !== undefined
        && head.lastEventId !== "";
}

/**
 * Records that an endpoint begins or goes on with the stream of a request, for callers that take it up. They name the
 * attempt that brought the first event, whose origin each later attempt prolongs.
 */
export function recordOrigin({ dispatch, head, route }: AdmittedRequest, endpoint: Endpoint, view: FleetView): void {
    const { id, service, workspace, deadline } = dispatch;
    const ids = takesStreamUp(head, route) ? [id, head.resumedAttemptId ?? ""] : [id];
    for (const attemptId of route.resumable ? ids.filter(attemptId => attemptId !== "") : []) {
        view.recordOrigin(originKey(workspace, attemptId), { service, version: versionOf(endpoint) }, deadline);
    }
}

/**
 * Resolves with the service and version at which a stream that a caller takes up has begun; undefined if nobody knows,
 * or if the route does not lead to that service any more. What two versions write does not fit together, so that a
 * stream of unknown origin goes on nowhere.
 */
export async function findOrigin(
    { resumedAttemptId }: CallerHead,
    route: CatalogRoute,
    workspace: string,
    view: FleetView,
): Promise<StreamOrigin | undefined> {
    const services = route.targets.filter(({ weight }) => weight > 0).map(({ service }) => service);
    const key = resumedAttemptId === undefined ? undefined : originKey(workspace, resumedAttemptId);
    const own = key === undefined ? undefined : view.findOrigin(key);
    const origin = own ?? await askForOrigin(key, services, view);
    return origin !== undefined && services.includes(origin.service) ? origin : undefined;
}

async function askForOrigin(
    key: string | undefined,
    services: readonly string[],
    view: FleetView,
): Promise<StreamOrigin | undefined> {
    const answer = await view.askForOrigin(key ?? "", services);
    const known = key === undefined ? undefined : ownRecord(answer?.origins ?? {})[key];
    const [service] = services;
    if (known !== undefined || service === undefined || services.length > 1) {
        return known;
    }
    // The own list may be older than those of others, and says nothing of versions that have left.
    const version = answer === undefined && view.leaderCollectsOrigins === false
        ? onlyListedVersion(service, view)
        : ownRecord(answer?.single ?? {})[service];
    return version === undefined ? undefined : { service, version };
}

/** Returns the version of all endpoints of a service in the list, if they have the same one. */
function onlyListedVersion(service: string, view: FleetView): string | undefined {
    const versions = new Set(view.endpoints.all.filter(endpoint => endpoint.service === service).map(versionOf));
    return versions.size === 1 ? [...versions][0] : undefined;
}
