import type { Endpoint, ReplicaOrder } from "@lentilramp/fleet";
import { findRollout, type RolloutBook } from "@lentilramp/rollouts";

/**
 * Whether an order would lower the number of replicas of a service while a roll-out of it runs: the old ones are needed
 * until it is completed, and the new ones bring the evidence.
 */
export function lowersRollout(order: ReplicaOrder, endpoints: readonly Endpoint[], rollouts: RolloutBook): boolean {
    if (findRollout(rollouts, order.service)?.state !== "running") {
        return false;
    }
    const present = endpoints.filter(({ service, failureDomain, reclaimable }) =>
        service === order.service && failureDomain === order.failureDomain && reclaimable === order.reclaimable
    );
    return order.count < present.length;
}
