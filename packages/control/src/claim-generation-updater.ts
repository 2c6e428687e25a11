import { claimGenerationLeadMs } from "@lentilramp/configuration";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import type { AgreementDriver } from "./agreement-driver.ts";
import type { CommandProposer } from "./command-proposer.ts";
import { decodeMemberAddress } from "./member-address.ts";
import type { ReplicatedConfiguration } from "./replicated-configuration.ts";

const checkIntervalMs = 500;
/** Added to the minimum lead time to allow for the duration of the proposal. */
const proposalMarginMs = 10_000;

/**
 * Proposes a new claim generation at the leader when the voters of the control group differ from the replicas of the
 * newest generation. The first generation covers all keys. A later one covers only keys that are issued after the lead
 * time, so the replicas of a key never change.
 */
export class ClaimGenerationUpdater extends PeriodicComponent {
    readonly name = "claim-generation-keeper";

    constructor(
        private readonly driver: AgreementDriver,
        private readonly replicatedConfiguration: ReplicatedConfiguration,
        private readonly proposer: CommandProposer,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, checkIntervalMs);
    }

    protected override onFailure(err: unknown): void {
        this.log.debug("claims.generation-refused", { error: String(err) });
    }

    protected override async runOnce(): Promise<void> {
        const { configuration } = this.replicatedConfiguration.store;
        if (this.replicatedConfiguration.readyTerm === undefined || configuration.version === 0) {
            return;
        }
        const replicas = this.driver.status.membership.members
            .filter(member => member.voter)
            .map(member => {
                const { host, port, failureDomain } = decodeMemberAddress(member);
                return { identity: member.id, address: { host, port }, failureDomain };
            })
            .sort((a, b) => a.identity < b.identity ? -1 : 1);
        const newest = configuration.claimGenerations.at(-1);
        const unchanged = newest?.replicas.map(replica => replica.identity).join()
            === replicas.map(replica => replica.identity).join();
        // While a member is replaced, the group temporarily has fewer voters. A generation with fewer replicas would
        // stay in force after the replacement.
        if (unchanged || (newest !== undefined && replicas.length < newest.replicas.length)) {
            return;
        }
        const generation = (newest?.generation ?? 0) + 1;
        const fromIssueTime = newest === undefined ? 0 : this.clock.now() + claimGenerationLeadMs + proposalMarginMs;
        const result = await this.proposer.propose({
            type: "propose",
            operationId: `claim-generation-${generation}-${
                replicas.map(replica => replica.identity.slice(0, 8)).join("-")
            }-${configuration.version}`,
            baseVersion: configuration.version,
            change: { upserts: { claimGenerations: [{ generation, fromIssueTime, replicas }] } },
        });
        if (result.ok) {
            this.log.info("claims.generation", { generation, fromIssueTime, replicas: replicas.length });
        }
    }
}
