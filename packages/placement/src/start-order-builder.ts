import { operationId } from "./operation-id.ts";
import { type FleetInstance, instanceGroupName, type Market, type StartOrder } from "./types.ts";

const spentKept = 1_000;

/** Builds start orders and remembers the operation ids whose instance is already gone. */
export class StartOrderBuilder {
    private readonly spent = new Set<string>();

    /** The cloud API answered with an instance that no longer exists: the intention needs a new id. */
    onSpent(id: string): void {
        this.spent.add(id);
        if (this.spent.size > spentKept) {
            this.spent.delete([...this.spent][0] ?? "");
        }
    }

    /** The intention is: the `ordinal`-th instance in addition to those known in the same cell. */
    build(
        cell: { failureDomain: string; machineClass: string; market: Market; },
        known: readonly FleetInstance[],
        ordinal: number,
        fencing: number,
    ): StartOrder {
        const name = instanceGroupName(cell);
        const members = known.filter(instance => instanceGroupName(instance) === name).map(instance => instance.id)
            .sort();
        let id: string;
        let attempt = 0;
        do {
            id = operationId("start", name, ordinal, attempt++, ...members);
        }
        while (this.spent.has(id));
        return { kind: "start", operationId: id, fencing, ...cell };
    }
}
