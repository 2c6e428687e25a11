import type { Experiment } from "./experiment.ts";

/** All experiments, in the order in which `--list` names them. */
export const experiments: readonly Experiment[] = [];
