import type { RandomSource } from "@lentilramp/runtime";
import type { Catalog, CatalogRoute } from "./catalog.ts";

function pathOfTarget(requestTarget: string): string {
    const end = requestTarget.search(/[?#]/);
    return end < 0 ? requestTarget : requestTarget.slice(0, end);
}

/** Maps requests to routes by host and longest matching path prefix. */
export class RouteTable {
    private readonly byHost = new Map<string, Map<string, CatalogRoute>>();

    constructor(catalog: Catalog) {
        for (const route of catalog.routes) {
            const host = route.host.toLowerCase();
            const routes = this.byHost.get(host) ?? new Map<string, CatalogRoute>();
            routes.set(route.pathPrefix, route);
            this.byHost.set(host, routes);
        }
    }

    /**
     * Returns the route of a request, or undefined. `requestTarget` is the target of the request line with its query.
     */
    find(hostHeader: string, requestTarget: string): CatalogRoute | undefined {
        const routes = this.byHost.get(hostHeader.toLowerCase().replace(/:\d+$/, ""));
        if (routes === undefined) {
            return undefined;
        }
        const path = pathOfTarget(requestTarget);
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = routes.get(path.slice(0, end + 1));
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    }
}

/** Selects the service of a request at random, in proportion to the weights of the route. */
export function drawService(route: CatalogRoute, random: RandomSource): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remainingWeight = random.next() * total;
    let selected = "";
    for (const { service, weight } of route.targets) {
        if (weight > 0) {
            selected = service;
            remainingWeight -= weight;
            if (remainingWeight < 0) {
                break;
            }
        }
    }
    return selected;
}
