import type { Catalog, CatalogRoute, CatalogWorkspace } from "./catalog.ts";

function checkRoute(route: CatalogRoute, catalog: Catalog): string | undefined {
    const named = route.targets.map(({ service }) => service);
    if (route.unusedService !== undefined) {
        named.push(route.unusedService);
    }
    const unknown = named.find(service => !catalog.services.has(service));
    if (unknown !== undefined) {
        return `route ${route.name} names the unknown service ${unknown}`;
    }
    const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0);
    if (!(totalWeight > 0) || !Number.isFinite(totalWeight)) {
        return `the weights of route ${route.name} must add up to more than 0, and to a number that is finite`;
    }
    if (route.targets.some(target => target.weight < 0)) {
        return `route ${route.name} has a negative weight`;
    }
    if (!(route.timeoutMs > 0)) {
        return `the timeout of route ${route.name} must be above 0`;
    }
    if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
        return `the prefix of route ${route.name} must begin and end with a slash`;
    }
    return undefined;
}

/** Returns the first fault for which a catalog must be refused, or undefined when it is valid. */
export function checkCatalog(catalog: Catalog): string | undefined {
    const hostsAndPrefixes = new Set<string>();
    for (const route of catalog.routes) {
        const reason = checkRoute(route, catalog);
        if (reason !== undefined) {
            return reason;
        }
        const hostAndPrefix = `${route.host.toLowerCase()} ${route.pathPrefix}`;
        if (hostsAndPrefixes.has(hostAndPrefix)) {
            return `two routes share the host ${route.host} and the prefix ${route.pathPrefix}`;
        }
        hostsAndPrefixes.add(hostAndPrefix);
    }
    const workspaceByKey = new Map<string, CatalogWorkspace>();
    for (const workspace of catalog.workspaces) {
        for (const key of workspace.keys) {
            const otherWorkspace = workspaceByKey.get(key);
            if (otherWorkspace !== undefined && otherWorkspace !== workspace) {
                return `the workspaces ${otherWorkspace.name} and ${workspace.name} share a key`;
            }
            workspaceByKey.set(key, workspace);
        }
    }
    return undefined;
}
