/** Resources of the machine that an ingress runs on; undefined where the settings do not state them. */
export interface MachineResources {
    /** Processor cores that the process may use, fractions included. */
    cores: number | undefined;
    memoryMb: number | undefined;
    fileDescriptors: number | undefined;
    /** In Mbit/s. */
    linkMbps: number | undefined;
}

/** The machine whose capacity is 1. */
const referenceMachine = { cores: 0.5, memoryMb: 350, fileDescriptors: 4_100, linkMbps: 10 };
/** Step of capacities, so that descriptions of ingresses seldom change. */
const capacityStep = 1 / 16;
/** Largest capacity that is told, so that no figure in the settings draws all callers to one ingress. */
export const maxCapacity = 64;

/** Part of the time for which the event loop of a busy ingress does work, and of one that is busy no longer. */
const busyUtilization = 0.9;
const calmUtilization = 0.7;
/** Time for which one or the other must last, in milliseconds. */
const settleMs = 2_000;

/**
 * Returns the capacity of an ingress relative to the reference machine, by its scarcest resource; undefined when the
 * settings state none.
 */
export function ingressCapacity(machine: MachineResources): number | undefined {
    const ratios = [
        (machine.cores ?? 0) / referenceMachine.cores,
        (machine.memoryMb ?? 0) / referenceMachine.memoryMb,
        (machine.fileDescriptors ?? 0) / referenceMachine.fileDescriptors,
        (machine.linkMbps ?? 0) / referenceMachine.linkMbps,
    ].filter(ratio => Number.isFinite(ratio) && ratio > 0);
    if (ratios.length === 0) {
        return undefined;
    }
    const steps = Math.max(1, Math.round(Math.min(...ratios) / capacityStep));
    return Math.min(maxCapacity, steps * capacityStep);
}

/** Tells whether the event loop of a process has been busy for so long that it should get fewer callers. */
export class BusyState {
    private busy = false;
    /** Start of the time for which the opposite of the state has been observed without a break. */
    private oppositeSince: number | undefined;

    /** Whether the process counts as busy. */
    get isBusy(): boolean {
        return this.busy;
    }

    /** Records the part of the time from `from` to `now` for which the event loop did work. Returns `isBusy`. */
    observe(utilization: number, from: number, now: number): boolean {
        const isOpposite = this.busy ? utilization < calmUtilization : utilization > busyUtilization;
        if (!isOpposite) {
            this.oppositeSince = undefined;
            return this.busy;
        }
        this.oppositeSince ??= from;
        if (now - this.oppositeSince >= settleMs) {
            this.busy = !this.busy;
            this.oppositeSince = undefined;
        }
        return this.busy;
    }
}
