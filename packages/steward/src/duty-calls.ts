import type { ReplicaOrder } from "@lentilramp/fleet";
import type { UsageReport } from "./steward-state.ts";

/** The steward that holds the duties, with its fencing number. */
export interface DutyHolder {
    name: string;
    fence: number;
}

/** Outcome of an order for replicas. */
export type OrderOutcome = "accepted" | "none-available" | "refused";

/** Calls to the platform that only the holder of the duties makes. */
export abstract class DutyCalls {
    /** Sends a usage report; rejects if the platform may not have accepted it, and the caller retries. */
    abstract reportUsage(report: UsageReport, holder: DutyHolder, deadline: number): Promise<void>;
    /** Sends an order for replicas; rejects if its outcome is unknown. */
    abstract orderReplicas(order: ReplicaOrder, holder: DutyHolder, deadline: number): Promise<OrderOutcome>;
}
