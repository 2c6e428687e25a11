import type { Endpoint } from "@lentilramp/fleet";
import type { AdmittedRequest } from "./admission.ts";
import type { EndpointSelection } from "./endpoint-selection.ts";
import type { PromptOutcome } from "./prompt-outcome.ts";
import type { RelayContext } from "./relay-context.ts";

/** Why a request is not sent once more. */
export type RetryRefusal = "attempts" | "budget" | "may-crash";

/** Decides whether a request may be sent once more, and pays for that from the retry budget of its service. */
export class RetryAllowance {
    /** Whether the next attempt needs no withdrawal: it has been paid, or the one before did not reach an endpoint. */
    private nextIsPaid = false;
    /** Whether a retry is kept for the case that a replacement fails. */
    private hasReserve = false;
    private lastRefusal: RetryRefusal | undefined;

    constructor(
        private readonly admitted: AdmittedRequest,
        private readonly ctx: RelayContext,
        private readonly prompt: PromptOutcome,
    ) {}

    /** Why the last further attempt was refused; undefined if it was made, or none was needed. */
    get refusal(): RetryRefusal | undefined {
        return this.lastRefusal;
    }

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
    payAfterError(runs: number, selection: EndpointSelection): boolean {
        const mayRetry = this.isRetryable && (runs < this.admitted.route.maxAttempts || selection.canAskAgain);
        if (mayRetry) {
            this.releaseReserve();
        }
        this.nextIsPaid = mayRetry && this.budget.tryWithdraw(this.ctx.clock.now());
        return this.nextIsPaid;
    }

    /**
     * Returns whether another endpoint can take the request from a silent one now, and pays for that attempt if so.
     * `runs` is the number of endpoints asked so far, including the silent one. With `reservesRetry`, one more retry is
     * kept until the replacement goes on, since the silent attempt cannot be kept open for so long.
     */
    payForReplacement(silent: Endpoint, runs: number, selection: EndpointSelection, reservesRetry: boolean): boolean {
        this.releaseReserve();
        const now = this.ctx.clock.now();
        const count = reservesRetry ? 2 : 1;
        // Asked again and again while an endpoint is silent, so what costs least comes first.
        this.nextIsPaid = this.isRetryable && runs < this.admitted.route.maxAttempts
            && this.budget.canWithdraw(now, count) && this.prompt.mayRepeat && selection.hasAlternativeTo(silent)
            && this.budget.tryWithdraw(now);
        if (this.nextIsPaid && reservesRetry) {
            this.reserve();
        }
        return this.nextIsPaid;
    }

    /** Keeps a retry, if there is one, for the case that the replacement fails once no attempt is parked any more. */
    tryReserve(): void {
        if (!this.hasReserve && this.budget.canWithdraw(this.ctx.clock.now())) {
            this.reserve();
        }
    }

    private reserve(): void {
        this.hasReserve = true;
        this.budget.reserve();
    }

    /** Gives back the retry that was kept for a replacement that might have failed. */
    releaseReserve(): void {
        if (this.hasReserve) {
            this.hasReserve = false;
            this.budget.release();
        }
    }

    /**
     * Returns whether another attempt may be made after attempts at `runs` endpoints, and pays for it unless it is paid.
     * When no further endpoint may be asked, one that was left because it was silent may be asked again.
     */
    payForNext(runs: number, selection: EndpointSelection): boolean {
        this.lastRefusal = this.mayCrash(runs)
            ? "may-crash"
            : runs >= this.admitted.route.maxAttempts && !selection.canAskAgain
            ? "attempts"
            : this.payOnce()
            ? undefined
            : "budget";
        return this.lastRefusal === undefined;
    }

    private payOnce(): boolean {
        if (!this.nextIsPaid) {
            this.releaseReserve();
        }
        const isPaid = this.nextIsPaid || this.budget.tryWithdraw(this.ctx.clock.now());
        this.nextIsPaid = false;
        return isPaid;
    }

    private get budget(): ReturnType<RelayContext["retryBudget"]> {
        return this.ctx.retryBudget(this.admitted.dispatch.service);
    }
}
