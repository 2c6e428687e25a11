import type { ClaimRecord } from "./messages.ts";
import type { Outcome } from "./outcome.ts";
import type { ReplicaViews, RoundContext } from "./replica-round.ts";
import { runRound } from "./replica-round.ts";

export type DispatchResult = "dispatch" | "too-late" | "no-permit" | "already-dispatched";

/** A claim that a quorum of replicas holds. Only its claimant may dispatch the call, and only once. */
export class Claim {
    private state: "claimed" | "dispatched" | "ended" = "claimed";

    constructor(
        readonly record: ClaimRecord,
        private readonly views: ReplicaViews,
        private readonly context: RoundContext,
        private readonly outcomeMs: number,
        private readonly mayDispatch: () => boolean,
    ) {}

    /**
     * Checks deadline and send permit and marks the call as dispatched. Must be called immediately before the first
     * byte is sent, without an `await` in between. Any result but `dispatch` or `already-dispatched` ends the claim,
     * and the answer is `not-run`: two of three replicas hold this claim, so no other claimant can reach a quorum.
     */
    beginDispatch(): DispatchResult {
        if (this.state !== "claimed") {
            return "already-dispatched";
        }
        const isLate = this.context.clock.now() >= this.record.dispatchDeadline;
        if (isLate || !this.mayDispatch()) {
            void this.markNotRun();
            return isLate ? "too-late" : "no-permit";
        }
        this.state = "dispatched";
        return "dispatch";
    }

    /** Stores the answer and resolves with whether two replicas hold it. The answer may be relayed before that. */
    complete(outcome: Outcome & { kind: "completed"; }): Promise<boolean> {
        if (this.state !== "dispatched") {
            throw new Error("cannot store an answer: the claim was not dispatched or already has an outcome");
        }
        return this.store(outcome);
    }

    /**
     * Stores that no byte of the call was sent, for example because the connection was refused. Resolves with whether
     * two replicas hold this outcome; the answer `not-run` is final immediately.
     */
    markNotRun(): Promise<boolean> {
        if (this.state === "ended") {
            throw new Error("cannot mark the call as not run: the claim already has an outcome");
        }
        return this.store({ kind: "not-run" });
    }

    private async store(outcome: Outcome): Promise<boolean> {
        this.state = "ended";
        const countReplicasWithOutcome = () =>
            this.views.registers.filter(view =>
                view?.kind === "claimed" && view.claimant === this.record.claimant && view.outcome !== undefined
            ).length;
        const operation = { kind: "outcome" as const, record: this.record, outcome };
        const deadline = this.context.clock.now() + this.outcomeMs;
        const isStored = await runRound(this.context, this.views, operation, deadline, () => {
            // The round continues until all replicas hold the outcome, so that the third one gets it as well.
            return countReplicasWithOutcome() === this.views.replicas.length ? true : undefined;
        });
        return isStored ?? countReplicasWithOutcome() >= 2;
    }
}
