import { operationId } from "./operation-id.ts";
import type { Demand, EngineOrder, FleetInstance, ModelDemand } from "./types.ts";
import type { WeightStoreLimiter } from "./weight-store-limiter.ts";

type WeightLoad = Omit<EngineOrder, "operationId" | "fencing">;

/** Selects the instances that should have the model: those that have it, then those with the fewest models. */
function selectInstances(model: ModelDemand, members: readonly FleetInstance[]): FleetInstance[] {
    // At least one copy per failure domain keeps every model available if another domain is lost.
    const copies = Math.max(1, Math.ceil(model.share * members.length));
    return [...members]
        .sort((a, b) =>
            Number(b.models.includes(model.name)) - Number(a.models.includes(model.name))
            || a.models.length - b.models.length || (a.id < b.id ? -1 : 1)
        )
        .slice(0, copies);
}

/** Returns the missing loads of one failure domain; a model is loaded before its adapters and version. */
function missingLoads(demand: Demand, members: readonly FleetInstance[]): WeightLoad[] {
    const loads: WeightLoad[] = [];
    for (const model of demand.models) {
        for (const { id: instanceId, models, adapters, version } of selectInstances(model, members)) {
            if (!models.includes(model.name)) {
                loads.push({ kind: "load-model", instanceId, target: model.name, bytes: model.bytes });
                continue;
            }
            for (const adapter of model.adapters.filter(({ name }) => !adapters.includes(name))) {
                loads.push({ kind: "load-adapter", instanceId, target: adapter.name, bytes: adapter.bytes });
            }
            if (model.version !== undefined && model.version !== version) {
                loads.push({ kind: "load-version", instanceId, target: model.version, bytes: model.bytes });
            }
        }
    }
    return loads;
}

/** Strategy that decides which weights engines load and when, within the rate of the weight store. */
export abstract class WeightLoadSchedule {
    /** Returns the load orders to give now; `pendingIds` are the ids of orders in progress. */
    abstract nextOrders(
        demand: Demand,
        live: readonly FleetInstance[],
        pendingIds: ReadonlySet<string>,
        fencing: number,
        now: number,
    ): EngineOrder[];
    /** Records that the engine did not accept the order. */
    abstract onOrderFailed(id: string): void;
}

/** Orders one transfer at a time, first to instances without a model, because they cannot serve any request. */
export class SequentialWeightLoads extends WeightLoadSchedule {
    /**
     * Instant until which each order of this lease holder is not repeated. An engine reports a load only when the load
     * has ended.
     */
    private readonly repeatAllowedAt = new Map<string, number>();

    constructor(private readonly weightStore: WeightStoreLimiter, private readonly repeatMarginMs: number) {
        super();
    }

    override onOrderFailed(id: string): void {
        this.repeatAllowedAt.delete(id);
    }

    override nextOrders(
        demand: Demand,
        live: readonly FleetInstance[],
        pendingIds: ReadonlySet<string>,
        fencing: number,
        now: number,
    ): EngineOrder[] {
        for (const [id, repeatAt] of this.repeatAllowedAt) {
            if (repeatAt <= now) {
                this.repeatAllowedAt.delete(id);
            }
        }
        const domains = [...new Set(live.map(instance => instance.failureDomain))].sort();
        const idsWithoutModel = new Set(
            live.filter(instance => instance.models.length === 0).map(instance => instance.id),
        );
        const orders = domains
            .flatMap(domain => missingLoads(demand, live.filter(instance => instance.failureDomain === domain)))
            .sort((a, b) => Number(idsWithoutModel.has(b.instanceId)) - Number(idsWithoutModel.has(a.instanceId)))
            .map(load => ({ ...load, fencing, operationId: operationId(load.kind, load.instanceId, load.target) }));
        for (const order of orders) {
            if (pendingIds.has(order.operationId) || this.repeatAllowedAt.has(order.operationId)) {
                continue;
            }
            if (!this.weightStore.tryReserve(order.bytes, now)) {
                return [];
            }
            this.repeatAllowedAt.set(
                order.operationId,
                now + this.weightStore.transferMs(order.bytes) * 2 + this.repeatMarginMs,
            );
            return [order];
        }
        return [];
    }
}
