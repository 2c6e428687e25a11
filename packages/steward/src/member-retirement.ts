import type { AgreementDriver } from "@lentilramp/control";
import { decodeMemberAddress } from "@lentilramp/control";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";

const checkMs = 500;
/** Silence after which a voter may be removed in favour of one that replaces it, in milliseconds. */
const goneMs = 6_000;

/**
 * Removes voters that have been silent while more voters are left than the tolerated losses need. A slow or cut-off
 * member keeps its vote as long as nobody has come to replace it.
 */
export class MemberRetirement extends PeriodicComponent {
    readonly name = "member-retirement";
    private readonly heardAt = new Map<string, number>();
    private leadingSince: number | undefined;

    constructor(
        private readonly driver: AgreementDriver,
        private readonly neededVoters: number,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, checkMs);
    }

    recordContact(id: string): void {
        this.heardAt.set(id, this.clock.now());
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
        const gone = voters.find(member =>
            member.id !== this.driver.id
            && now - Math.max(this.heardAt.get(member.id) ?? 0, leadingSince) > goneMs
        );
        if (gone !== undefined) {
            await this.driver.changeMembership({ kind: "remove", id: gone.id });
            this.log.warn("steward.member-removed", {
                member: decodeMemberAddress(gone).name,
                silentMs: Math.round(now - (this.heardAt.get(gone.id) ?? leadingSince)),
                voters: voters.length - 1,
            });
        }
    }

    protected override onFailure(err: unknown): void {
        this.log.info("steward.member-change-refused", { error: String(err) });
    }
}
