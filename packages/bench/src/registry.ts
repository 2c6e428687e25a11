import type { Experiment } from "./experiment.ts";
import { OnceExperiment } from "./experiments/once/once.ts";

/** All experiments, in the order in which `--list` names them. */
export const experiments: readonly Experiment[] = [
    new OnceExperiment(),
];
