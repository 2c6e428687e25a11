import type { ClaimRecord } from "./messages.ts";
import type { Outcome } from "./outcome.ts";
import type { ReplicaViews, RoundContext } from "./replica-round.ts";
import { runRound } from "./replica-round.ts";

export type DispatchResult = "dispatch" | "too-late" | "no-permit" | "already-dispatched";

/** A won claim. Its holder is the only one that may dispatch the call, and may do so once. */
export class Claim {
    private state: "won" | "dispatched" | "ended" = "won";

    constructor(
        readonly record: ClaimRecord,
        private readonly views: ReplicaViews,
        private readonly context: RoundContext,
        private readonly outcomeMs: number,
        private readonly mayDispatch: () => boolean,
    ) {}

    /**
     * Checks deadline and send permit; to be called immediately before the first byte is sent, without waiting in
     * between. Any result but `dispatch` or `already-dispatched` ends the claim, and the answer is `not-run`: two of
     * three replicas hold this claim, so no other claimant can win.
     */
    beginDispatch(): DispatchResult {
        if (this.state !== "won") {
            return "already-dispatched";
        }
        const late = this.context.clock.now() >= this.record.dispatchDeadline;
        if (late || !this.mayDispatch()) {
            void this.markNotRun();
            return late ? "too-late" : "no-permit";
        }
        this.state = "dispatched";
        return "dispatch";
    }

    /** Stores the answer; resolves with true when two replicas hold it. The answer can be relayed before that. */
    complete(outcome: Outcome & { kind: "completed"; }): Promise<boolean> {
        if (this.state !== "dispatched") {
            throw new Error("the claim was not dispatched or has ended");
        }
        return this.store(outcome);
    }

    /**
     * Says that no byte of the call was sent, for example because the connection was refused. Resolves with true when
     * two replicas hold this; the answer `not-run` is final at once.
     */
    markNotRun(): Promise<boolean> {
        if (this.state === "ended") {
            throw new Error("the claim has ended");
        }
        return this.store({ kind: "not-run" });
    }

    private async store(outcome: Outcome): Promise<boolean> {
        this.state = "ended";
        const holders = () =>
            this.views.registers.filter(view =>
                view?.kind === "claimed" && view.claimant === this.record.claimant && view.outcome !== undefined
            ).length;
        const operation = { kind: "outcome" as const, record: this.record, outcome };
        const deadline = this.context.clock.now() + this.outcomeMs;
        const stored = await runRound(this.context, this.views, operation, deadline, () => {
            // The round goes on until all replicas have replied, so that the third one gets the outcome as well.
            return holders() === this.views.replicas.length ? true : undefined;
        });
        return stored ?? holders() >= 2;
    }
}
