import { type CapTolerance, ingressCapacity, type IngressDescription, type MachineResources } from "@lentilramp/fleet";
import type { RolloutOptions } from "@lentilramp/rollouts";

/** Platform-independent settings of an ingress. Durations are in milliseconds. */
export interface IngressOptions {
    name: string;
    region: string;
    failureDomain: string;
    /** Listen address for callers. */
    callers: { host: string; port: number; };
    /** Listen address of the platform's readiness check. */
    readiness: { host: string; port: number; };
    /** Listen address for other processes of the fleet. */
    inner: { host: string; port: number; };
    /** Longest time from the start of a planned stop to the exit of the process. */
    graceMs: number;
    /** Allowed ratio of retries to requests in the window. */
    retryRatio: number;
    retryWindowMs: number;
    /** Retries in a window that all ingresses together may make in addition to the ratio. */
    retryReserve: number;
    capTolerance: CapTolerance;
    usageWindowMs: number;
    /** Time within which a confirmed catalog must be in force. */
    catalogBoundMs: number;
    /** Longest time by which the platform's list of endpoints is behind. */
    maxListLagMs: number;
    /** Time after the start of an endpoint's drain from which it must receive no new request. */
    drainBoundMs: number;
    /** Bounds of roll-outs; undefined if the deployment does not roll versions out. */
    rollouts?: RolloutOptions;
    /** Resources of the machine; undefined if they are not known. */
    machine?: MachineResources;
}

/** Builds the description of an ingress that is sent to the stewards. */
export function describeIngress(
    options: IngressOptions,
    accepting: boolean,
    reachesEndpoints = true,
    busy = false,
): IngressDescription {
    const { name, region, failureDomain, callers, inner, machine } = options;
    const capacity = machine === undefined ? undefined : ingressCapacity(machine);
    return {
        ...{ name, region, failureDomain, accepting, inner, ...callers },
        ...(reachesEndpoints ? {} : { reachesEndpoints }),
        ...(capacity === undefined ? {} : { capacity }),
        ...(capacity !== undefined && busy ? { busy } : {}),
    };
}
