import type { Configuration, LifecycleState } from "../schema/index.ts";

interface Stateful {
    lifecycle: Exclude<LifecycleState, "transferred">;
}

function carry<T extends Stateful>(current: readonly T[], proposed: readonly T[], keyOfItem: (item: T) => string): T[] {
    const states = new Map(current.map(item => [keyOfItem(item), item.lifecycle]));
    return proposed.map(item => ({ ...item, lifecycle: states.get(keyOfItem(item)) ?? "active" }));
}

/**
 * Returns the proposed configuration with the lifecycle states and tombstones of the current one. Lifecycle
 * states change only by the drain and hand-over commands: a generated configuration says nothing about them, and
 * taking it literally would end a drain in progress.
 */
export function carryLifecycle(current: Configuration, proposed: Configuration): Configuration {
    return {
        ...proposed,
        endpoints: carry(current.endpoints, proposed.endpoints, endpoint => endpoint.id),
        services: carry(current.services, proposed.services, service => service.name),
        workspaces: carry(current.workspaces, proposed.workspaces, workspace => workspace.id),
        tombstones: current.tombstones,
    };
}
