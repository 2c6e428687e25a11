import type { Configuration, LifecycleState } from "../schema/index.ts";

interface HasLifecycle {
    lifecycle: Exclude<LifecycleState, "transferred">;
}

function carryStates<T extends HasLifecycle>(
    current: readonly T[],
    proposed: readonly T[],
    keyOfItem: (item: T) => string,
): T[] {
    const states = new Map(current.map(item => [keyOfItem(item), item.lifecycle]));
    return proposed.map(item => ({ ...item, lifecycle: states.get(keyOfItem(item)) ?? "active" }));
}

/**
 * Returns the proposed configuration with the lifecycle states and tombstones of the current one. Only the drain and
 * hand-over commands change lifecycle states: a generated configuration doesn't contain them, so applying its defaults
 * would cancel a drain in progress.
 */
export function carryLifecycle(current: Configuration, proposed: Configuration): Configuration {
    return {
        ...proposed,
        endpoints: carryStates(current.endpoints, proposed.endpoints, endpoint => endpoint.id),
        services: carryStates(current.services, proposed.services, service => service.name),
        workspaces: carryStates(current.workspaces, proposed.workspaces, workspace => workspace.id),
        tombstones: current.tombstones,
    };
}
