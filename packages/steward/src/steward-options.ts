import type { CapTolerance, PlannerPolicy } from "@lentilramp/fleet";

/** Settings of a steward, whatever platform it runs on. Durations are in milliseconds. */
export interface StewardOptions {
    name: string;
    failureDomains: readonly string[];
    /** Where other processes call. */
    inner: { host: string; port: number; };
    /** Hosts of the stewards that the settings name; they can change while the process runs. */
    seedHosts: () => readonly string[];
    /** The whole system starts for the first time. */
    firstStart: boolean;
    dataFolder: string;
    /** Disks that may be lost at once. */
    toleratedLosses: number;
    /** By how much the use of a cap may exceed it. */
    capTolerance: CapTolerance;
    usageWindowMs: number;
    /** Time after the end of a window within which its usage is due. */
    usageLateMs: number;
    /** Time in which the holder of a duty must not change to and fro. */
    dutyLeaseMs: number;
    /** Whether the platform takes usage reports and orders for replicas. */
    reportsUsage: boolean;
    ordersReplicas: boolean;
    /** All mechanisms are on when it is left out. */
    plannerPolicy?: PlannerPolicy;
}
