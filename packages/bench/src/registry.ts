import type { Experiment } from "./experiment.ts";
import { ClaimCostExperiment } from "./experiments/claim-cost.ts";
import { ConfigExperiment } from "./experiments/config.ts";
import { ControlExperiment } from "./experiments/control/control.ts";
import { CostExperiment } from "./experiments/cost/cost.ts";
import { ElectionExperiment } from "./experiments/election.ts";
import { LogCostExperiment } from "./experiments/logs/log-cost.ts";
import { MembershipExperiment } from "./experiments/membership.ts";
import { OnceExperiment } from "./experiments/once/once.ts";
import { OverloadPlatformExperiment } from "./experiments/overload-platform/overload-platform.ts";
import { OverloadExperiment } from "./experiments/overload.ts";
import { ReclaimExperiment } from "./experiments/reclaim.ts";
import { RecoveryExperiment } from "./experiments/recovery.ts";
import { RelayExperiment } from "./experiments/relay/relay.ts";
import { RetriesExperiment } from "./experiments/retries.ts";
import { RoutingExperiment } from "./experiments/routing.ts";
import { ChoiceExperiment } from "./experiments/size/choice.ts";
import { LeaderExperiment } from "./experiments/size/leader.ts";
import { SyncBytesExperiment } from "./experiments/size/sync-bytes.ts";

/** All experiments, in the order in which `--list` names them. */
export const experiments: readonly Experiment[] = [
    new ElectionExperiment(),
    new OnceExperiment(),
    new RoutingExperiment(),
    new ConfigExperiment(),
    new RecoveryExperiment(),
    new ClaimCostExperiment(),
    new ReclaimExperiment(),
    new RelayExperiment(),
    new ControlExperiment(),
    new CostExperiment(),
    new OverloadExperiment(),
    new OverloadPlatformExperiment(),
    new RetriesExperiment(),
    new MembershipExperiment(),
    new LogCostExperiment(),
    new ChoiceExperiment(),
    new LeaderExperiment(),
    new SyncBytesExperiment(),
];
