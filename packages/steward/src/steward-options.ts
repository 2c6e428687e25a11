import type { CapTolerance, PlannerPolicy } from "@lentilramp/fleet";
import type { RolloutOptions } from "@lentilramp/rollouts";

/** Settings of a steward, independent of the platform. Durations are in milliseconds. */
export interface StewardOptions {
    name: string;
    failureDomains: readonly string[];
    /** Address for other processes of the fleet. */
    inner: { host: string; port: number; };
    /** Returns the hosts of the stewards in the settings, which can change while the process runs. */
    seedHosts: () => readonly string[];
    /** Whether the whole system starts for the first time. */
    firstStart: boolean;
    dataFolder: string;
    /** Number of disks whose simultaneous loss is tolerated. */
    toleratedLosses: number;
    /** How far use may exceed a cap. */
    capTolerance: CapTolerance;
    usageWindowMs: number;
    /** Time after the end of a usage window within which its report is due. */
    usageLateMs: number;
    /** Time within which the duties must not return to a previous holder. */
    dutyLeaseMs: number;
    /** Whether the platform accepts usage reports. */
    reportsUsage: boolean;
    /** Whether the platform accepts orders for replicas. */
    ordersReplicas: boolean;
    /** Mechanisms of the replica planner; all are enabled by default. */
    plannerPolicy?: PlannerPolicy;
    /** Bounds of roll-outs; undefined if the deployment does not roll versions out. */
    rollouts?: RolloutOptions;
}
