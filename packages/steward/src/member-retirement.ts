import type { Member } from "@lentilramp/agreement";
import type { AgreementDriver } from "@lentilramp/control";
import { decodeMemberAddress } from "@lentilramp/control";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import type { ReleaseOutcome } from "./vote-release.ts";

const checkMs = 100;
/** Delay of a check, in milliseconds, from which this process may not have read what the others sent meanwhile. */
const ownPauseMs = 300;
/**
 * Time without messages after which a voter that the group can do without loses its vote, in milliseconds. With the
 * time that a successor takes to join it is shorter than the time for which a replaced instance counts as lost.
 */
const demotionSilenceMs = 1_500;
/** Time without messages after which a member without a vote is removed for good, in milliseconds. */
const removalSilenceMs = 1_800_000;
/** Time for which a member that stops gets no vote after it has asked to release its own, in milliseconds. */
const leavingMs = 3_000;

/**
 * Takes the vote of members that are silent or stop as planned, while the group has more voters than the tolerated
 * number of losses requires. Such a member remains a learner: when it returns, the leader replicates to it again and
 * gives it its vote back. Only a member that stays away for much longer is removed, because a removed identity cannot
 * return.
 */
export class MemberRetirement extends PeriodicComponent {
    readonly name = "member-retirement";
    private readonly lastContactAt = new Map<string, number>();
    /** Instant until which each member that stops gets no vote. */
    private readonly leavingUntil = new Map<string, number>();
    /** Instant since which this process leads and reads what the others send; undefined while it does not lead. */
    private observingSince: number | undefined;

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

    /** Whether a member may get a vote: it has not asked to release it lately. */
    mayVote(id: string): boolean {
        return this.clock.now() >= (this.leavingUntil.get(id) ?? 0);
    }

    /** Whether the group can do without one of its votes, now or once a learner that answers has been promoted. */
    get hasSpareVote(): boolean {
        return this.voters.length > this.neededVoters
            || this.learners.some(learner => this.mayVote(learner.id) && this.silentMs(learner) <= demotionSilenceMs);
    }

    /** Takes the vote of a member that stops as planned, if the group can do without it. Acts only at the leader. */
    async releaseVote(id: string): Promise<ReleaseOutcome> {
        if (this.driver.status.role !== "leader") {
            return "not-leader";
        }
        const member = this.voters.find(voter => voter.id === id);
        if (member === undefined) {
            return "released";
        }
        if (!this.hasSpareVote) {
            return "kept";
        }
        this.leavingUntil.set(id, this.clock.now() + leavingMs);
        if (this.voters.length <= this.neededVoters) {
            return "retry";
        }
        try {
            await this.driver.changeMembership({ kind: "demote", id });
        }
        catch (err) {
            this.onFailure(err);
            return "retry";
        }
        this.logChange("steward.member-demoted", member, "stopping");
        return "released";
    }

    protected override async runOnce(): Promise<void> {
        if (this.driver.status.role !== "leader") {
            this.observingSince = undefined;
            return;
        }
        if (this.runDelayMs > ownPauseMs || this.observingSince === undefined) {
            this.observingSince = this.clock.now();
        }
        await this.retireSilentMembers();
    }

    protected override onFailure(err: unknown): void {
        this.log.info("steward.member-change-refused", { error: String(err) });
    }

    private get voters(): Member[] {
        return this.driver.status.membership.members.filter(({ voter }) => voter);
    }

    private get learners(): Member[] {
        return this.driver.status.membership.members.filter(({ voter }) => !voter);
    }

    private async retireSilentMembers(): Promise<void> {
        const silentVoter = this.voters.find(member => this.silentMs(member) > demotionSilenceMs);
        if (silentVoter !== undefined && this.voters.length > this.neededVoters) {
            await this.driver.changeMembership({ kind: "demote", id: silentVoter.id });
            this.logChange("steward.member-demoted", silentVoter, "silent");
        }
        const lostLearner = this.learners.find(member => this.silentMs(member) > removalSilenceMs);
        if (lostLearner !== undefined) {
            await this.driver.changeMembership({ kind: "remove", id: lostLearner.id });
            this.logChange("steward.member-removed", lostLearner, "silent");
        }
    }

    /** Time since the last message of a member, or since this process observes the members, whichever is shorter. */
    private silentMs({ id }: Member): number {
        return id === this.driver.id
            ? 0
            : this.clock.now() - Math.max(this.lastContactAt.get(id) ?? 0, this.observingSince ?? Infinity);
    }

    private logChange(event: string, member: Member, reason: "silent" | "stopping"): void {
        this.log.warn(event, {
            member: decodeMemberAddress(member).name,
            reason,
            silentMs: Math.round(this.silentMs(member)),
            voters: this.voters.length,
        });
    }
}
