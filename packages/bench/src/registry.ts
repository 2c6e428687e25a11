import type { Experiment } from "./experiment.ts";
import { ReclaimExperiment } from "./experiments/reclaim.ts";

/** All experiments, in the order in which `--list` names them. */
export const experiments: readonly Experiment[] = [
    new ReclaimExperiment(),
];
