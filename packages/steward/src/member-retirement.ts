import type { Member } from "@lentilramp/agreement";
import type { AgreementDriver } from "@lentilramp/control";
import { decodeMemberAddress } from "@lentilramp/control";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";

const checkMs = 500;
/** Time without messages after which a voter that the group can do without loses its vote, in milliseconds. */
const demotionSilenceMs = 6_000;
/** Time without messages after which a member without a vote is removed for good, in milliseconds. */
const removalSilenceMs = 1_800_000;

/**
 * Takes the vote of silent members while the group has more voters than the tolerated number of losses requires. Such a
 * member remains a learner: when it returns, the leader replicates to it again and gives it its vote back. Only a
 * member that stays away for much longer is removed, because a removed identity cannot return.
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
        this.leadingSince ??= this.clock.now();
        const voters = membership.members.filter(member => member.voter);
        const silentVoter = voters.find(member => this.silentMs(member) > demotionSilenceMs);
        if (silentVoter !== undefined && voters.length > this.neededVoters) {
            await this.driver.changeMembership({ kind: "demote", id: silentVoter.id });
            this.logChange("steward.member-demoted", silentVoter);
        }
        const lostLearner = membership.members.find(member =>
            !member.voter && this.silentMs(member) > removalSilenceMs
        );
        if (lostLearner !== undefined) {
            await this.driver.changeMembership({ kind: "remove", id: lostLearner.id });
            this.logChange("steward.member-removed", lostLearner);
        }
    }

    protected override onFailure(err: unknown): void {
        this.log.info("steward.member-change-refused", { error: String(err) });
    }

    /** Time since the last message of a member or the start of this leadership, whichever is later. */
    private silentMs({ id }: Member): number {
        return id === this.driver.id
            ? 0
            : this.clock.now() - Math.max(this.lastContactAt.get(id) ?? 0, this.leadingSince ?? Infinity);
    }

    private logChange(event: string, member: Member): void {
        const { membership } = this.driver.status;
        this.log.warn(event, {
            member: decodeMemberAddress(member).name,
            silentMs: Math.round(this.silentMs(member)),
            voters: membership.members.filter(({ voter }) => voter).length,
        });
    }
}
