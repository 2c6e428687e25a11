import type { AgreementDriver } from "@lentilramp/control";
import type { RpcClient } from "@lentilramp/protocol";
import { type Clock, Component, type EventLog } from "@lentilramp/runtime";
import { z } from "zod";
import { leaderAddress } from "./leader-address.ts";
import type { MemberRetirement } from "./member-retirement.ts";

/** Longest time that a planned stop waits until its vote is released, in milliseconds. */
const releaseTimeoutMs = 2_000;
const callTimeoutMs = 500;
const retryIntervalMs = 50;

/** Answer to the RPC method `control.release-vote`. */
export const releaseAnswerSchema = z.object({
    outcome: z.enum([
        /** The member has no vote. */
        "released",
        /** The group needs the vote although its member stops; it counts again when the process is back. */
        "kept",
        /** The vote can be released later, for example once a successor has been promoted. */
        "retry",
        /** The receiver does not lead. */
        "not-leader",
    ]),
});
export type ReleaseOutcome = z.infer<typeof releaseAnswerSchema>["outcome"];

/**
 * Gives back the vote of a steward that stops as planned, before its process ends. A stopped process may never return,
 * and until its vote is taken the group could not bear the losses that it promises to tolerate.
 */
export class VoteRelease extends Component {
    readonly name = "vote-release";

    constructor(
        private readonly driver: AgreementDriver,
        private readonly retirement: MemberRetirement,
        private readonly client: RpcClient,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {
        super();
    }

    override async drain(deadline: number): Promise<void> {
        const startedAt = this.clock.now();
        const giveUpAt = Math.min(deadline, startedAt + releaseTimeoutMs);
        let outcome: ReleaseOutcome = "retry";
        while (this.holdsVote && this.clock.now() < giveUpAt) {
            outcome = await this.requestRelease();
            if (outcome === "released" || outcome === "kept") {
                break;
            }
            await this.clock.sleepUntil(this.clock.now() + retryIntervalMs);
        }
        this.log.info("steward.vote-release", {
            outcome: this.holdsVote ? outcome : "released",
            waitedMs: Math.round(this.clock.now() - startedAt),
        });
    }

    private get holdsVote(): boolean {
        const { members } = this.driver.status.membership;
        return members.some(({ id, voter }) => id === this.driver.id && voter);
    }

    private async requestRelease(): Promise<ReleaseOutcome> {
        if (this.driver.status.role === "leader") {
            if (!this.retirement.hasSpareVote) {
                return "kept";
            }
            // A leader cannot take its own vote; its successor can.
            await this.driver.drain();
            return "retry";
        }
        const leader = leaderAddress(this.driver);
        if (leader === undefined) {
            return "retry";
        }
        const { outcome } = await this.client.call(
            leader,
            "control.release-vote",
            { identity: this.driver.id },
            releaseAnswerSchema,
            this.clock.now() + callTimeoutMs,
        ).catch(() => ({ outcome: "retry" as const }));
        return outcome;
    }
}
