import type { ReplicaOrder } from "@lentilramp/fleet";
import type { UsageReport } from "./steward-state.ts";

/** Who acts, and under which fencing number. */
export interface DutyHolder {
    name: string;
    fence: number;
}

/** What became of an order. */
export type OrderOutcome = "accepted" | "none-available" | "refused";

/** Calls to the platform that only the holder of a duty makes. */
export abstract class DutyCalls {
    /** Rejects when the report may not have been taken; it is then repeated. */
    abstract reportUsage(report: UsageReport, holder: DutyHolder, deadline: number): Promise<void>;
    /** Rejects when the outcome is unknown. */
    abstract orderReplicas(order: ReplicaOrder, holder: DutyHolder, deadline: number): Promise<OrderOutcome>;
}
