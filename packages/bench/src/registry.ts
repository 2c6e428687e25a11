import type { Experiment } from "./experiment.ts";
import { OverloadExperiment } from "./experiments/overload.ts";
import { RetriesExperiment } from "./experiments/retries.ts";
import { RoutingExperiment } from "./experiments/routing.ts";

/** All experiments, in the order in which `--list` names them. */
export const experiments: readonly Experiment[] = [
    new RoutingExperiment(),
    new OverloadExperiment(),
    new RetriesExperiment(),
];
