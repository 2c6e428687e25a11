import type { RpcClient } from "@lentilramp/protocol";
import { type Clock, PeriodicComponent } from "@lentilramp/runtime";
import { z } from "zod";
import type { AgreementDriver } from "./agreement-driver.ts";
import type { MemberAddress } from "./member-address.ts";

const retryIntervalMs = 500;
const callTimeoutMs = 500;

/** Sends join requests to the other members until this process belongs to the group. */
export class JoinRequester extends PeriodicComponent {
    readonly name = "group-joining";

    constructor(
        private readonly driver: AgreementDriver,
        private readonly selfAddress: MemberAddress,
        /** Returns the addresses of the currently known members. */
        private readonly members: () => readonly MemberAddress[],
        private readonly client: RpcClient,
        clock: Clock,
    ) {
        super(clock, retryIntervalMs);
    }

    protected override onFailure(): void {
        // Each call has a deadline, and the next run retries it.
    }

    protected override async runOnce(): Promise<void> {
        if (this.driver.status.membership.members.some(member => member.id === this.driver.id)) {
            return;
        }
        const req = { identity: this.driver.id, address: this.selfAddress };
        const deadline = this.clock.now() + callTimeoutMs;
        await Promise.all(
            this.members().filter(member => member.name !== this.selfAddress.name).map(member =>
                this.client.call(member, "control.join", req, z.unknown(), deadline).catch(() => undefined)
            ),
        );
    }
}
