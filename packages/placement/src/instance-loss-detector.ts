import type { PlacementOptions } from "./options.ts";
import type { ReclaimRate } from "./reclaim-rate.ts";
import type { FleetInstance } from "./types.ts";

/** Recognizes instances that leave or are silent, and reports reclaims to the observed rate once for each instance. */
export class InstanceLossDetector {
    private known = new Map<string, FleetInstance>();
    private readonly noticed = new Set<string>();
    private stopped = new Set<string>();

    constructor(private readonly options: PlacementOptions, private readonly rate: ReclaimRate) {}

    /** A notice for this instance arrived; the list may show it later. */
    onNotice(instanceId: string): void {
        this.noticed.add(instanceId);
    }

    /** This system stops the instance, so its end is no reclaim. */
    onStopped(instanceId: string): void {
        this.stopped.add(instanceId);
    }

    leaving(instance: FleetInstance): boolean {
        return instance.state === "leaving" || this.noticed.has(instance.id);
    }

    silent(instance: FleetInstance, now: number): boolean {
        return instance.state === "live" && instance.lastSeenAt !== undefined
            && now - instance.lastSeenAt > this.options.silenceMs;
    }

    update(instances: readonly FleetInstance[], now: number): void {
        const current = new Map(instances.map(instance => [instance.id, instance]));
        for (const instance of this.known.values()) {
            const present = current.get(instance.id);
            const wasLeaving = instance.state === "leaving";
            const lost = present === undefined ? !wasLeaving : this.leaving(present) && !wasLeaving;
            if (lost && instance.market === "reclaimable" && !this.stopped.has(instance.id)) {
                this.rate.onReclaim(instance.failureDomain, now);
            }
        }
        this.known = new Map(
            instances.map(instance => [
                instance.id,
                this.leaving(instance) ? { ...instance, state: "leaving" } : instance,
            ]),
        );
        for (const set of [this.noticed, this.stopped]) {
            // Ids of instances that are gone are not needed: the platform never uses an id again.
            [...set].filter(id => !current.has(id)).forEach(id => set.delete(id));
        }
    }
}
