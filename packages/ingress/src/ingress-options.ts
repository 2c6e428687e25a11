import type { CapTolerance, IngressDescription } from "@lentilramp/fleet";

/** Settings of an ingress, whatever platform it runs on. Durations are in milliseconds. */
export interface IngressOptions {
    name: string;
    region: string;
    failureDomain: string;
    /** Where callers connect. */
    callers: { host: string; port: number; };
    /** Where the platform asks whether this ingress takes callers. */
    readiness: { host: string; port: number; };
    /** Where other processes of the fleet connect. */
    inner: { host: string; port: number; };
    /** Longest time from a planned stop to the end of the process. */
    graceMs: number;
    retryRatio: number;
    retryWindowMs: number;
    /** Retries that all ingresses together may make in a window beyond the ratio. */
    retryReserve: number;
    capTolerance: CapTolerance;
    usageWindowMs: number;
    /** Time within which a leaving endpoint must get no new request. */
    drainBoundMs: number;
}

/** How an ingress describes itself to the stewards. */
export function describeIngress(options: IngressOptions, accepting: boolean): IngressDescription {
    const { name, region, failureDomain, callers, inner } = options;
    return { name, region, failureDomain, accepting, inner, ...callers };
}
