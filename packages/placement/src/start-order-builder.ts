import { operationId } from "./operation-id.ts";
import { type FleetInstance, instanceGroupName, type Market, type StartOrder } from "./types.ts";

const maxUsedIds = 1_000;

/** Builds start orders, and avoids operation ids whose instance was started and is already gone. */
export class StartOrderBuilder {
    private readonly usedIds = new Set<string>();

    /**
     * Records that the cloud API answered a start with an instance that no longer exists, so that the same intent needs
     * another operation id.
     */
    onInstanceGone(id: string): void {
        this.usedIds.add(id);
        if (this.usedIds.size > maxUsedIds) {
            this.usedIds.delete([...this.usedIds][0] ?? "");
        }
    }

    /** Builds the order for the instance number `ordinal`, from 0, in addition to `instances` of the same group. */
    build(
        group: { failureDomain: string; machineClass: string; market: Market; },
        instances: readonly FleetInstance[],
        ordinal: number,
        fencing: number,
    ): StartOrder {
        const groupName = instanceGroupName(group);
        const memberIds = instances.filter(instance => instanceGroupName(instance) === groupName).map(instance =>
            instance.id
        )
            .sort();
        let id: string;
        let attempt = 0;
        do {
            id = operationId("start", groupName, ordinal, attempt++, ...memberIds);
        }
        while (this.usedIds.has(id));
        return { kind: "start", operationId: id, fencing, ...group };
    }
}
