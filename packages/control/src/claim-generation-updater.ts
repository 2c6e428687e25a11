import { claimGenerationLeadMs } from "@lentilramp/configuration";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import type { AgreementDriver } from "./agreement-driver.ts";
import type { CommandProposer } from "./command-proposer.ts";
import { decodeMemberAddress } from "./member-address.ts";
import type { ReplicatedConfiguration } from "./replicated-configuration.ts";

const intervalMs = 500;
/** Added to the least lead time, for the time that the proposal takes. */
const leadMarginMs = 10_000;

/**
 * Keeps the newest claim generation equal to the voters of the control group. The first generation covers all keys;
 * a later one covers keys issued after the lead time, so the replicas of a key never change.
 */
export class ClaimGenerationUpdater extends PeriodicComponent {
    readonly name = "claim-generation-keeper";

    constructor(
        private readonly driver: AgreementDriver,
        private readonly replicated: ReplicatedConfiguration,
        private readonly proposer: CommandProposer,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, intervalMs);
    }

    protected override onFailure(err: unknown): void {
        this.log.debug("claims.generation-refused", { error: String(err) });
    }

    protected override async runOnce(): Promise<void> {
        const { configuration } = this.replicated.store;
        if (this.replicated.readyTerm === undefined || configuration.version === 0) {
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
        const same = newest?.replicas.map(replica => replica.identity).join()
            === replicas.map(replica => replica.identity).join();
        // A group of voters that is being repaired is smaller for a moment; a generation would outlive that.
        if (same || (newest !== undefined && replicas.length < newest.replicas.length)) {
            return;
        }
        const generation = (newest?.generation ?? 0) + 1;
        const fromIssueTime = newest === undefined ? 0 : this.clock.now() + claimGenerationLeadMs + leadMarginMs;
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
