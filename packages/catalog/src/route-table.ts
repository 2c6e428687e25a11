import type { RandomSource } from "@lentilramp/runtime";
import type { Catalog, CatalogRoute } from "./catalog.ts";

function pathOf(target: string): string {
    const end = target.search(/[?#]/);
    return end < 0 ? target : target.slice(0, end);
}

/** Finds the route of a request by its host and the longest prefix of its path. */
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

    /** `target` is the request target as sent, with its query. */
    find(hostHeader: string, target: string): CatalogRoute | undefined {
        const routes = this.byHost.get(hostHeader.toLowerCase().replace(/:\d+$/, ""));
        if (routes === undefined) {
            return undefined;
        }
        const path = pathOf(target);
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = routes.get(path.slice(0, end + 1));
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    }
}

/** Draws the service of a request by the weights of its route. */
export function drawService(route: CatalogRoute, random: RandomSource): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let left = random.next() * total;
    let last = "";
    for (const { service, weight } of route.targets) {
        if (weight > 0) {
            last = service;
            left -= weight;
            if (left < 0) {
                break;
            }
        }
    }
    return last;
}
