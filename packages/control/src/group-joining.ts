import type { RpcClient } from "@lentilramp/protocol";
import { type Clock, Component, type Timer } from "@lentilramp/runtime";
import { z } from "zod";
import type { AgreementDriver } from "./agreement-driver.ts";
import type { MemberAddress } from "./member-directory.ts";

const intervalMs = 500;
const callMs = 500;

/** Asks the other control processes for admission until this process belongs to the group. */
export class GroupJoining extends Component {
    readonly name = "group-joining";
    private timer: Timer | undefined;

    constructor(
        private readonly driver: AgreementDriver,
        private readonly own: MemberAddress,
        private readonly members: readonly MemberAddress[],
        private readonly client: RpcClient,
        private readonly clock: Clock,
    ) {
        super();
    }

    override async start(): Promise<void> {
        this.schedule();
    }

    override async close(): Promise<void> {
        this.timer?.cancel();
    }

    private schedule(): void {
        this.timer = this.clock.schedule(this.clock.now() + intervalMs, () => {
            void this.ask().finally(() => this.schedule());
        });
    }

    private async ask(): Promise<void> {
        if (this.driver.status.membership.members.some(member => member.id === this.driver.id)) {
            return;
        }
        const join = { identity: this.driver.id, address: this.own };
        const deadline = this.clock.now() + callMs;
        await Promise.all(
            this.members.filter(member => member.name !== this.own.name).map(member =>
                this.client.call(member, "control.join", join, z.unknown(), deadline).catch(() => undefined)
            ),
        );
    }
}
