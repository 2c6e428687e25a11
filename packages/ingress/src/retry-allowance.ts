import type { Endpoint } from "@lentilramp/fleet";
import type { AdmittedRequest } from "./admission.ts";
import type { EndpointSelection } from "./endpoint-selection.ts";
import type { PromptOutcome } from "./prompt-outcome.ts";
import type { RelayContext } from "./relay.ts";

/** Decides whether a request may be sent once more, and pays for that from the retry budget of its service. */
export class RetryAllowance {
    /** Whether the next attempt needs no withdrawal: it has been paid, or the one before did not reach an endpoint. */
    private nextIsPaid = false;

    constructor(
        private readonly admitted: AdmittedRequest,
        private readonly ctx: RelayContext,
        private readonly prompt: PromptOutcome,
    ) {}

    /** Whether the route allows attempts after one that may have run. */
    get isRetryable(): boolean {
        const { execution, resumable } = this.admitted.route;
        return execution === "idempotent" || execution === "stream" && resumable && this.ctx.resumesStreams;
    }

    /** Whether an attempt after those that have run may crash another endpoint. */
    mayCrash(runs: number): boolean {
        return runs > 0 && !this.prompt.mayRepeat;
    }

    /** Records whether the last attempt, which has certainly not run, reached an endpoint. */
    recordNotRun(reachedEndpoint: boolean): void {
        this.nextIsPaid = !reachedEndpoint;
    }

    /** Returns whether an attempt may follow one that answered with an error, and pays for it. */
    payAfterError(runs: number): boolean {
        const mayRetry = this.isRetryable && runs < this.admitted.route.maxAttempts;
        this.nextIsPaid = mayRetry && this.budget.tryWithdraw(this.ctx.clock.now());
        return this.nextIsPaid;
    }

    /**
     * Returns whether another endpoint can take the request from a silent one now, and pays for that attempt if so.
     * `runs` is the number of attempts so far, including the silent one.
     */
    payForReplacement(silent: Endpoint, runs: number, selection: EndpointSelection): boolean {
        const now = this.ctx.clock.now();
        // Asked again and again while an endpoint is silent, so what costs least comes first.
        this.nextIsPaid = this.isRetryable && runs < this.admitted.route.maxAttempts && this.budget.canWithdraw(now)
            && this.prompt.mayRepeat && selection.hasAlternativeTo(silent) && this.budget.tryWithdraw(now);
        return this.nextIsPaid;
    }

    /** Returns whether another attempt may be made after `runs` attempts, and pays for it unless it is paid. */
    payForNext(runs: number): boolean {
        if (this.mayCrash(runs) || runs >= this.admitted.route.maxAttempts) {
            return false;
        }
        const isPaid = this.nextIsPaid || this.budget.tryWithdraw(this.ctx.clock.now());
        this.nextIsPaid = false;
        return isPaid;
    }

    private get budget(): ReturnType<RelayContext["retryBudget"]> {
        return this.ctx.retryBudget(this.admitted.dispatch.service);
    }
}
