import type { IngressDescription } from "@lentilramp/fleet";
import type { RpcClient } from "@lentilramp/protocol";
import { type Clock, PeriodicComponent } from "@lentilramp/runtime";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import { errorMessage, type StewardCore } from "./steward-core.ts";
import { leaderAddress, rosterAnswerSchema } from "./steward-methods.ts";

const intervalMs = 400;
const callMs = 500;
/** Time between two copies of the usage counts for each ingress, in milliseconds; they grow with the fleet. */
const usageMsPerMember = 10;

/**
 * Keeps a copy of the leader's roster and usage counts, so that every steward answers lookups and a new leader also
 * reports what an ingress that has ended since had counted.
 */
export class RosterFollower extends PeriodicComponent {
    readonly name = "roster-follower";
    private held: { tag: number; ingresses: readonly IngressDescription[]; } = { tag: 0, ingresses: [] };
    private usageReadAt = -Infinity;

    constructor(
        private readonly core: StewardCore,
        private readonly coordinator: FleetCoordinator,
        private readonly client: RpcClient,
        clock: Clock,
    ) {
        super(clock, intervalMs);
    }

    protected override async runOnce(): Promise<void> {
        const leader = leaderAddress(this.core);
        if (this.core.state.isLeader || leader === undefined) {
            return;
        }
        const now = this.clock.now();
        const usage = now - this.usageReadAt >= this.held.ingresses.length * usageMsPerMember;
        const params = { tag: this.held.tag, usage };
        const answer = await this.client.call(leader, "fleet.roster", params, rosterAnswerSchema, now + callMs);
        if (!answer.leading) {
            return;
        }
        this.held = answer.roster ?? this.held;
        this.coordinator.mergeLeaderRoster(this.held.ingresses);
        if (usage) {
            this.usageReadAt = now;
            for (const [lifetime, windows] of Object.entries(answer.usage)) {
                this.coordinator.usageWindows.replaceCounts(lifetime, windows);
            }
        }
    }

    protected override onFailure(err: unknown): void {
        this.core.log.debug("steward.roster-not-read", { reason: errorMessage(err) });
    }
}
