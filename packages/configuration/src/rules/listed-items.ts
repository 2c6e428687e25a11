import type { Change } from "../change/change.ts";
import type { Configuration, HandOverKind, LifecycleState } from "../schema/index.ts";

/** Id and lifecycle state of an item in the configuration that can be handed over. */
export interface ListedItem {
    id: string;
    lifecycle: Exclude<LifecycleState, "transferred">;
}

/** Returns the ids and lifecycle states of all items of one kind. */
export function listedItems(configuration: Configuration, kind: HandOverKind): ListedItem[] {
    switch (kind) {
        case "endpoint":
            return configuration.endpoints;
        case "service":
            return configuration.services.map(({ name, lifecycle }) => ({ id: name, lifecycle }));
        case "workspace":
            return configuration.workspaces;
    }
}

export function findItem(configuration: Configuration, kind: HandOverKind, id: string): ListedItem | undefined {
    return listedItems(configuration, kind).find(item => item.id === id);
}

/** Returns the change that sets the lifecycle state of an item. */
export function lifecycleChange(
    configuration: Configuration,
    kind: HandOverKind,
    id: string,
    lifecycle: ListedItem["lifecycle"],
): Change {
    const withLifecycle = <T extends object>(items: readonly T[]) => items.map(item => ({ ...item, lifecycle }));
    switch (kind) {
        case "endpoint":
            return { upserts: { endpoints: withLifecycle(configuration.endpoints.filter(item => item.id === id)) } };
        case "service":
            return { upserts: { services: withLifecycle(configuration.services.filter(item => item.name === id)) } };
        case "workspace":
            return { upserts: { workspaces: withLifecycle(configuration.workspaces.filter(item => item.id === id)) } };
    }
}

/**
 * Returns the change that removes a transferred item and adds its tombstone. For a service it also removes the routes
 * to the service and the service from the lists of endpoints, so that no dangling reference remains.
 */
export function transferChange(configuration: Configuration, kind: HandOverKind, id: string): Change {
    const tombstones = [{ kind, id, version: configuration.version + 1 }];
    switch (kind) {
        case "endpoint":
            return { upserts: { tombstones }, removals: { endpoints: [id] } };
        case "workspace":
            return { upserts: { tombstones }, removals: { workspaces: [id] } };
        case "service": {
            const endpoints = configuration.endpoints
                .filter(endpoint => endpoint.services.includes(id))
                .map(endpoint => ({ ...endpoint, services: endpoint.services.filter(name => name !== id) }));
            const routes = configuration.routes
                .filter(({ target }) => target.kind === "service" && target.service === id)
                .map(route => route.name);
            return {
                upserts: { tombstones, ...(endpoints.length === 0 ? {} : { endpoints }) },
                removals: { services: [id], ...(routes.length === 0 ? {} : { routes }) },
            };
        }
    }
}
