import type { PlacementOptions } from "./options.ts";
import type { ReclaimRate } from "./reclaim-rate.ts";
import type { FleetInstance } from "./types.ts";

/** Detects leaving and silent instances, and records each reclaim once in the reclaim rate. */
export class InstanceLossDetector {
    private previousById = new Map<string, FleetInstance>();
    private readonly reclaimNoticeIds = new Set<string>();
    private stopOrderedIds = new Set<string>();

    constructor(private readonly options: PlacementOptions, private readonly reclaimRate: ReclaimRate) {}

    /** Records a reclaim notice for the instance, which may arrive before the instance list shows it as leaving. */
    onReclaimNotice(instanceId: string): void {
        this.reclaimNoticeIds.add(instanceId);
    }

    /** Records that the planner ordered the stop, so that the end of the instance does not count as a reclaim. */
    onStopOrdered(instanceId: string): void {
        this.stopOrderedIds.add(instanceId);
    }

    isLeaving(instance: FleetInstance): boolean {
        return instance.state === "leaving" || this.reclaimNoticeIds.has(instance.id);
    }

    isSilent(instance: FleetInstance, now: number): boolean {
        return instance.state === "live" && instance.lastSeenAt !== undefined
            && now - instance.lastSeenAt > this.options.silenceMs;
    }

    update(instances: readonly FleetInstance[], now: number): void {
        const currentById = new Map(instances.map(instance => [instance.id, instance]));
        for (const instance of this.previousById.values()) {
            const current = currentById.get(instance.id);
            const wasLeaving = instance.state === "leaving";
            const newlyLost = current === undefined ? !wasLeaving : this.isLeaving(current) && !wasLeaving;
            if (newlyLost && instance.market === "reclaimable" && !this.stopOrderedIds.has(instance.id)) {
                this.reclaimRate.onReclaim(instance.failureDomain, now);
            }
        }
        this.previousById = new Map(
            instances.map(instance => [
                instance.id,
                this.isLeaving(instance) ? { ...instance, state: "leaving" } : instance,
            ]),
        );
        for (const ids of [this.reclaimNoticeIds, this.stopOrderedIds]) {
            // The platform never reuses an id, so ids of instances that are gone can be dropped.
            [...ids].filter(id => !currentById.has(id)).forEach(id => ids.delete(id));
        }
    }
}
