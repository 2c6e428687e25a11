import { operationId } from "./operation-id.ts";
import type { Demand, EngineOrder, FleetInstance, ModelDemand } from "./types.ts";
import type { WeightStoreLimiter } from "./weight-store-limiter.ts";

type Wish = Omit<EngineOrder, "operationId" | "fencing">;

/** Instances that should hold the model in one failure domain: those that hold it, then the least loaded. */
function holders(model: ModelDemand, members: readonly FleetInstance[]): FleetInstance[] {
    // At least one copy a failure domain, so that the loss of another domain leaves every model available.
    const copies = Math.max(1, Math.ceil(model.share * members.length));
    return [...members]
        .sort((a, b) =>
            Number(b.models.includes(model.name)) - Number(a.models.includes(model.name))
            || a.models.length - b.models.length || (a.id < b.id ? -1 : 1)
        )
        .slice(0, copies);
}

/** What is missing on the instances of one failure domain, models before adapters and versions. */
function wishes(demand: Demand, members: readonly FleetInstance[]): Wish[] {
    const found: Wish[] = [];
    for (const model of demand.models) {
        for (const { id: instanceId, models, adapters, version } of holders(model, members)) {
            if (!models.includes(model.name)) {
                found.push({ kind: "load-model", instanceId, target: model.name, bytes: model.bytes });
                continue;
            }
            for (const adapter of model.adapters.filter(({ name }) => !adapters.includes(name))) {
                found.push({ kind: "load-adapter", instanceId, target: adapter.name, bytes: adapter.bytes });
            }
            if (model.version !== undefined && model.version !== version) {
                found.push({ kind: "load-version", instanceId, target: model.version, bytes: model.bytes });
            }
        }
    }
    return found;
}

/** Decides what engines load, and when, under the rate of the weight store. */
export abstract class WeightLoadSchedule {
    /** `known` holds the ids of orders that are under way. */
    abstract nextOrders(
        demand: Demand,
        live: readonly FleetInstance[],
        known: ReadonlySet<string>,
        fencing: number,
        now: number,
    ): EngineOrder[];
    /** The order was not accepted by the engine. */
    abstract onOrderFailed(id: string): void;
}

/** One transfer at a time. An instance without any model is served first, since it carries nothing until then. */
export class SequentialWeightLoads extends WeightLoadSchedule {
    /** Orders given by this holder: an engine reports a load only when it has ended. */
    private readonly given = new Map<string, number>();

    constructor(private readonly ledger: WeightStoreLimiter, private readonly repeatMs: number) {
        super();
    }

    override onOrderFailed(id: string): void {
        this.given.delete(id);
    }

    override nextOrders(
        demand: Demand,
        live: readonly FleetInstance[],
        known: ReadonlySet<string>,
        fencing: number,
        now: number,
    ): EngineOrder[] {
        for (const [id, until] of this.given) {
            if (until <= now) {
                this.given.delete(id);
            }
        }
        const domains = [...new Set(live.map(instance => instance.failureDomain))].sort();
        const empty = new Set(live.filter(instance => instance.models.length === 0).map(instance => instance.id));
        const orders = domains
            .flatMap(domain => wishes(demand, live.filter(instance => instance.failureDomain === domain)))
            .sort((a, b) => Number(empty.has(b.instanceId)) - Number(empty.has(a.instanceId)))
            .map(wish => ({ ...wish, fencing, operationId: operationId(wish.kind, wish.instanceId, wish.target) }));
        for (const order of orders) {
            if (known.has(order.operationId) || this.given.has(order.operationId)) {
                continue;
            }
            if (!this.ledger.tryReserve(order.bytes, now)) {
                return [];
            }
            this.given.set(order.operationId, now + this.ledger.transferMs(order.bytes) * 2 + this.repeatMs);
            return [order];
        }
        return [];
    }
}
