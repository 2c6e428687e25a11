import type { Experiment } from "./experiment.ts";
import { ConfigExperiment } from "./experiments/config.ts";
import { MembershipExperiment } from "./experiments/membership.ts";

/** All experiments, in the order in which `--list` names them. */
export const experiments: readonly Experiment[] = [
    new ConfigExperiment(),
    new MembershipExperiment(),
];
