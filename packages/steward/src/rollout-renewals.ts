import type { RpcServer } from "@lentilramp/protocol";
import { type RenewAnswer, renewMethod, type RenewRequest, renewRequestSchema } from "@lentilramp/rollouts";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import type { RolloutDirector } from "./rollout-director.ts";
import type { StewardCore } from "./steward-core.ts";

/** Parts of a steward that answer renewals. */
export interface RenewalParts {
    core: Pick<StewardCore, "clock">;
    coordinator: Pick<FleetCoordinator, "rolloutReports">;
    rollouts: Pick<RolloutDirector, "notices">;
    holdsDuties: () => boolean;
}

/** Answers an ingress that renews its shares between two syncs, and takes its reports. */
export function answerRenewal(
    { ingress, lifetime, rolloutResults, rolloutRevision, load }: RenewRequest,
    { core, coordinator, rollouts, holdsDuties }: RenewalParts,
): RenewAnswer {
    if (!holdsDuties()) {
        return { leading: false };
    }
    coordinator.rolloutReports.record(ingress, lifetime, rolloutResults, load, core.clock.now());
    return { leading: true, rollouts: rollouts.notices(rolloutRevision) };
}

/** Registers the RPC method with which ingresses renew their shares. */
export function attachRolloutRenewals(server: RpcServer, parts: RenewalParts): void {
    server.method(renewMethod, renewRequestSchema, async req => answerRenewal(req, parts));
}
