import type { Experiment } from "./experiment.ts";
import { ElectionExperiment } from "./experiments/election.ts";

/** All experiments, in the order in which `--list` names them. */
export const experiments: readonly Experiment[] = [new ElectionExperiment()];
