import type { Catalog, CatalogRoute } from "./catalog.ts";

function checkRoute(route: CatalogRoute, catalog: Catalog): string | undefined {
    for (const target of route.targets) {
        if (!catalog.services.has(target.service)) {
            return `route ${route.name} names the unknown service ${target.service}`;
        }
    }
    if (!(route.targets.reduce((sum, target) => sum + target.weight, 0) > 0)) {
        return `the weights of route ${route.name} add up to 0`;
    }
    if (route.targets.some(target => target.weight < 0)) {
        return `route ${route.name} has a negative weight`;
    }
    if (!(route.timeoutMs > 0)) {
        return `route ${route.name} has no timeout`;
    }
    if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
        return `the prefix of route ${route.name} must begin and end with a slash`;
    }
    return undefined;
}

/** Returns the first reason for which a catalog must not take effect, or undefined. */
export function checkCatalog(catalog: Catalog): string | undefined {
    const places = new Set<string>();
    for (const route of catalog.routes) {
        const reason = checkRoute(route, catalog);
        if (reason !== undefined) {
            return reason;
        }
        const place = `${route.host.toLowerCase()} ${route.pathPrefix}`;
        if (places.has(place)) {
            return `two routes share the host ${route.host} and the prefix ${route.pathPrefix}`;
        }
        places.add(place);
    }
    const owners = new Map<string, string>();
    for (const workspace of catalog.workspaces) {
        for (const key of workspace.keys) {
            const owner = owners.get(key);
            if (owner !== undefined && owner !== workspace.name) {
                return `the workspaces ${owner} and ${workspace.name} share a key`;
            }
            owners.set(key, workspace.name);
        }
    }
    return undefined;
}
