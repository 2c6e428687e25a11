import type { Member, NodeId } from "@lentilramp/agreement";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import type { AgreementDriver } from "./agreement-driver.ts";
import { decodeMemberAddress, encodeMemberAddress, type MemberAddress } from "./member-address.ts";

const intervalMs = 200;

/** A process with a new identity that asks to take the place of the member with its name. */
export interface JoinRequest {
    identity: NodeId;
    address: MemberAddress;
}

/**
 * Admits replacements at the leader. A process that comes back under its name with another identity has lost its
 * disk: the old identity is removed first, then the new one is added as a learner and promoted once it has caught up,
 * one change at a time.
 */
export class MembershipRepair extends PeriodicComponent {
    readonly name = "membership-repair";
    private readonly pending = new Map<string, JoinRequest>();

    constructor(
        private readonly driver: AgreementDriver,
        /** Whether a process of this name may belong to the group. */
        private readonly admits: (name: string) => boolean,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, intervalMs);
    }

    /** Takes a request at the leader. Names that may not belong to the group are refused. */
    requestJoin(join: JoinRequest): boolean {
        if (!this.admits(join.address.name)) {
            return false;
        }
        this.pending.set(join.address.name, join);
        return true;
    }

    protected override async runOnce(): Promise<void> {
        if (this.driver.status.role !== "leader") {
            this.pending.clear();
            return;
        }
        const [next] = this.pending.values();
        if (next !== undefined) {
            await this.advance(next);
        }
        else {
            await this.promoteLearners();
        }
    }

    protected override onFailure(err: unknown): void {
        this.log.debug("control.member-change-refused", { error: String(err) });
    }

    /** Makes the next change towards the admission of a process. */
    private async advance({ identity, address }: JoinRequest): Promise<void> {
        const { members } = this.driver.status.membership;
        if (members.some(member => member.id === identity)) {
            this.pending.delete(address.name);
            await this.promoteLearners();
            return;
        }
        const old = members.find(member => decodeMemberAddress(member).name === address.name);
        if (old !== undefined) {
            await this.driver.changeMembership({ kind: "remove", id: old.id });
            this.log.warn("control.member-removed", { name: address.name, identity: old.id, reason: "disk lost" });
        }
        await this.driver.changeMembership({
            kind: "add-learner",
            id: identity,
            address: encodeMemberAddress(address),
        });
        this.log.info("control.member-added", { name: address.name, identity });
    }

    private async promoteLearners(): Promise<void> {
        const learner: Member | undefined = this.driver.status.membership.members.find(member => !member.voter);
        if (learner !== undefined) {
            await this.driver.changeMembership({ kind: "promote", id: learner.id });
            this.log.info("control.member-promoted", { name: decodeMemberAddress(learner).name, identity: learner.id });
        }
    }
}
