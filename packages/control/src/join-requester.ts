import type { RpcClient } from "@lentilramp/protocol";
import { type Clock, PeriodicComponent } from "@lentilramp/runtime";
import { z } from "zod";
import type { AgreementDriver } from "./agreement-driver.ts";
import type { MemberAddress } from "./member-address.ts";

const intervalMs = 500;
const callMs = 500;

/** Asks the other control processes for admission until this process belongs to the group. */
export class JoinRequester extends PeriodicComponent {
    readonly name = "group-joining";

    constructor(
        private readonly driver: AgreementDriver,
        private readonly own: MemberAddress,
        /** The control processes that are known now. */
        private readonly members: () => readonly MemberAddress[],
        private readonly client: RpcClient,
        clock: Clock,
    ) {
        super(clock, intervalMs);
    }

    protected override onFailure(): void {
        // Each call of a run has its own deadline and is tried again in the next run.
    }

    protected override async runOnce(): Promise<void> {
        if (this.driver.status.membership.members.some(member => member.id === this.driver.id)) {
            return;
        }
        const join = { identity: this.driver.id, address: this.own };
        const deadline = this.clock.now() + callMs;
        await Promise.all(
            this.members().filter(member => member.name !== this.own.name).map(member =>
                this.client.call(member, "control.join", join, z.unknown(), deadline).catch(() => undefined)
            ),
        );
    }
}
