import type { AgreementDriver } from "@lentilramp/control";
import { decodeMemberAddress } from "@lentilramp/control";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";

const checkMs = 500;
/** Time without messages after which a voter that has a replacement may be removed, in milliseconds. */
const removalSilenceMs = 6_000;

/**
 * Removes silent voters while the group has more voters than the tolerated number of losses requires. A slow or
 * partitioned member therefore keeps its vote until another one has joined as its replacement.
 */
export class MemberRetirement extends PeriodicComponent {
    readonly name = "member-retirement";
    private readonly lastContactAt = new Map<string, number>();
    private leadingSince: number | undefined;

    constructor(
        private readonly driver: AgreementDriver,
        private readonly neededVoters: number,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, checkMs);
    }

    /** Records a message from a member. */
    recordContact(id: string): void {
        this.lastContactAt.set(id, this.clock.now());
    }

    protected override async runOnce(): Promise<void> {
        const { role, membership } = this.driver.status;
        if (role !== "leader") {
            this.leadingSince = undefined;
            return;
        }
        const now = this.clock.now();
        this.leadingSince ??= now;
        const voters = membership.members.filter(member => member.voter);
        if (voters.length <= this.neededVoters) {
            return;
        }
        const leadingSince = this.leadingSince;
        const silentVoter = voters.find(member =>
            member.id !== this.driver.id
            && now - Math.max(this.lastContactAt.get(member.id) ?? 0, leadingSince) > removalSilenceMs
        );
        if (silentVoter !== undefined) {
            await this.driver.changeMembership({ kind: "remove", id: silentVoter.id });
            this.log.warn("steward.member-removed", {
                member: decodeMemberAddress(silentVoter).name,
                silentMs: Math.round(now - (this.lastContactAt.get(silentVoter.id) ?? leadingSince)),
                voters: voters.length - 1,
            });
        }
    }

    protected override onFailure(err: unknown): void {
        this.log.info("steward.member-change-refused", { error: String(err) });
    }
}
