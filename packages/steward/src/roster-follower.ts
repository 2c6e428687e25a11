import type { IngressDescription } from "@lentilramp/fleet";
import type { RpcClient } from "@lentilramp/protocol";
import { type Clock, PeriodicComponent } from "@lentilramp/runtime";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import { leaderAddress } from "./leader-address.ts";
import { errorMessage, type StewardCore } from "./steward-core.ts";
import { rosterAnswerSchema } from "./steward-methods.ts";

const pollIntervalMs = 400;
const callTimeoutMs = 500;
/** Interval between two copies of the usage counts per ingress, in milliseconds; the counts grow with the fleet. */
const usageMsPerMember = 10;

/**
 * Copies the leader's roster, its usage counts and the origins of streams, so that every steward can answer lookups, and
 * a new leader knows what ingresses that have stopped since had reported.
 */
export class RosterFollower extends PeriodicComponent {
    readonly name = "roster-follower";
    private leaderRoster: { tag: number; ingresses: readonly IngressDescription[]; } = { tag: 0, ingresses: [] };
    private usageReadAt = -Infinity;
    /** What has been copied of the origins that a leader has collected. */
    private copiedOrigins = { collection: "", next: 0 };

    constructor(
        private readonly core: StewardCore,
        private readonly coordinator: FleetCoordinator,
        private readonly client: RpcClient,
        clock: Clock,
    ) {
        super(clock, pollIntervalMs);
    }

    protected override async runOnce(): Promise<void> {
        const leader = leaderAddress(this.core.driver);
        if (this.core.state.isLeader || leader === undefined) {
            return;
        }
        const now = this.clock.now();
        const wantsUsage = now - this.usageReadAt >= this.leaderRoster.ingresses.length * usageMsPerMember;
        const params = { tag: this.leaderRoster.tag, usage: wantsUsage, origins: this.copiedOrigins };
        const answer = await this.client.call(leader, "fleet.roster", params, rosterAnswerSchema, now + callTimeoutMs);
        if (!answer.leading) {
            return;
        }
        this.leaderRoster = answer.roster ?? this.leaderRoster;
        this.coordinator.mergeLeaderRoster(this.leaderRoster.ingresses);
        if (answer.origins !== undefined) {
            const { collection, next, reports, lives } = answer.origins;
            this.copiedOrigins = { collection, next };
            this.coordinator.mergeOrigins(reports, lives);
        }
        if (wantsUsage) {
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
