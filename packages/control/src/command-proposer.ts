import type { Command, CommandResult } from "@lentilramp/configuration";
import type { Clock } from "@lentilramp/runtime";
import type { AgreementDriver } from "./agreement-driver.ts";
import { ControlError } from "./control-error.ts";
import type { ReplicatedConfiguration } from "./replicated-configuration.ts";

/** Command without its `time`, which the proposing leader adds. */
export type UntimedCommand = Command extends infer C ? C extends Command ? Omit<C, "time"> : never : never;

/** Proposes configuration commands at the leader and adds the leader's term and clock time. */
export class CommandProposer {
    constructor(
        private readonly driver: AgreementDriver,
        private readonly replicatedConfiguration: ReplicatedConfiguration,
        private readonly clock: Clock,
    ) {}

    /** Resolves with the result of the applied command; rejects with a `ControlError`. */
    async propose(command: UntimedCommand): Promise<CommandResult> {
        const term = this.replicatedConfiguration.readyTerm;
        if (term === undefined) {
            // Without a valid lease or before the entries of earlier terms are applied, the read is refused with an
            // error that contains the leader's address.
            await this.driver.confirmRead();
            if (this.driver.status.role !== "leader") {
                throw new ControlError("not-leader", "this process is not the leader");
            }
        }
        const time = { epoch: this.driver.status.term, at: this.clock.now() };
        return await this.driver.propose(JSON.stringify({ ...command, time })) as CommandResult;
    }
}
