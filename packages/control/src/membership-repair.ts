import type { NodeId } from "@lentilramp/agreement";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import type { AgreementDriver } from "./agreement-driver.ts";
import { decodeMemberAddress, encodeMemberAddress, type MemberAddress } from "./member-address.ts";

const checkIntervalMs = 200;

/** Join request of a process with a new identity, which replaces the member that has the same name if there is one. */
export interface JoinRequest {
    identity: NodeId;
    address: MemberAddress;
}

/**
 * Admits processes to the group; acts only at the leader. A process that returns under the name of a member with
 * another identity has lost its disk. The old identity is removed first; then the new one is added as a learner and
 * promoted once it has caught up. The membership changes one member at a time.
 */
export class MembershipRepair extends PeriodicComponent {
    readonly name = "membership-repair";
    private readonly pendingJoins = new Map<string, JoinRequest>();

    constructor(
        private readonly driver: AgreementDriver,
        /** Whether a process with this name may belong to the group. */
        private readonly isAdmissible: (name: string) => boolean,
        /** Whether the member with this identity may get a vote once it has caught up. */
        private readonly mayVote: (identity: NodeId) => boolean,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, checkIntervalMs);
    }

    /** Queues a join request, which only a leader processes; returns false if the name may not belong to the group. */
    requestJoin(req: JoinRequest): boolean {
        if (!this.isAdmissible(req.address.name)) {
            return false;
        }
        this.pendingJoins.set(req.address.name, req);
        return true;
    }

    protected override async runOnce(): Promise<void> {
        if (this.driver.status.role !== "leader") {
            this.pendingJoins.clear();
            return;
        }
        for (const join of [...this.pendingJoins.values()]) {
            try {
                await this.advance(join);
            }
            catch (err) {
                // A process that cannot be admitted must not hold up the others.
                this.onFailure(err);
            }
        }
        await this.promoteLearners();
    }

    protected override onFailure(err: unknown): void {
        this.log.debug("control.member-change-refused", { error: String(err) });
    }

    /** Makes the next membership change that is needed to admit the process. */
    private async advance({ identity, address }: JoinRequest): Promise<void> {
        const { members } = this.driver.status.membership;
        if (members.some(member => member.id === identity)) {
            this.pendingJoins.delete(address.name);
            return;
        }
        const replacedMember = members.find(member => decodeMemberAddress(member).name === address.name);
        if (replacedMember !== undefined) {
            await this.driver.changeMembership({ kind: "remove", id: replacedMember.id });
            this.log.warn("control.member-removed", {
                name: address.name,
                identity: replacedMember.id,
                reason: "disk lost",
            });
        }
        await this.driver.changeMembership({
            kind: "add-learner",
            id: identity,
            address: encodeMemberAddress(address),
        });
        this.log.info("control.member-added", { name: address.name, identity });
    }

    /** Promotes the learners that have caught up. One that is away must not hold up the others. */
    private async promoteLearners(): Promise<void> {
        const learners = this.driver.status.membership.members.filter(({ id, voter }) => !voter && this.mayVote(id));
        for (const learner of learners) {
            try {
                await this.driver.changeMembership({ kind: "promote", id: learner.id });
            }
            catch (err) {
                this.onFailure(err);
                continue;
            }
            this.log.info("control.member-promoted", { name: decodeMemberAddress(learner).name, identity: learner.id });
        }
    }
}
