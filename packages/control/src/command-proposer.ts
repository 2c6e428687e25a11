import type { Command, CommandResult } from "@lentilramp/configuration";
import type { Clock } from "@lentilramp/runtime";
import type { AgreementDriver } from "./agreement-driver.ts";
import { ControlError } from "./control-error.ts";
import type { ReplicatedConfiguration } from "./replicated-configuration.ts";

/** A command without the time, which the proposing leader adds. */
export type UntimedCommand = Command extends infer C ? C extends Command ? Omit<C, "time"> : never : never;

/** Proposes commands at the leader with the leader's time. */
export class CommandProposer {
    constructor(
        private readonly driver: AgreementDriver,
        private readonly replicated: ReplicatedConfiguration,
        private readonly clock: Clock,
    ) {}

    /** Resolves with the replicated result; rejects with a ControlError. */
    async propose(command: UntimedCommand): Promise<CommandResult> {
        const term = this.replicated.readyTerm;
        if (term === undefined) {
            // Without a valid lease and the state of earlier terms, the agreement member refuses and names the leader.
            await this.driver.confirmRead();
            if (this.driver.status.role !== "leader") {
                throw new ControlError("not-leader", "this process does not lead");
            }
        }
        const time = { epoch: this.driver.status.term, at: this.clock.now() };
        return await this.driver.propose(JSON.stringify({ ...command, time })) as CommandResult;
    }
}
