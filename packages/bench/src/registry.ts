import type { Experiment } from "./experiment.ts";
import { ClaimCostExperiment } from "./experiments/claim-cost.ts";
import { OnceExperiment } from "./experiments/once/once.ts";
import { RecoveryExperiment } from "./experiments/recovery.ts";

/** All experiments, in the order in which `--list` names them. */
export const experiments: readonly Experiment[] = [
    new OnceExperiment(),
    new RecoveryExperiment(),
    new ClaimCostExperiment(),
];
