import type { Clock, Timer } from "@lentilramp/runtime";
import type { DispatchDecision, EndpointChoice } from "./dispatcher.ts";
import type { Candidate, DispatchRequest } from "./types.ts";
import { WaitQueue } from "./wait-queue.ts";

/**
 * Longest time between reevaluations of the queued requests, in milliseconds. Load that other processes add or end
 * does not trigger one.
 */
const reevaluationIntervalMs = 15;

/** Retry delay of a request that an internal error has ended, in milliseconds. */
const errorRetryMs = 100;

/** How the requests of a queue share its endpoints. */
export interface QueueRule {
    /** Whether workspaces take turns and less urgent requests give way to urgent ones at present. */
    isShared: () => boolean;
    /** Called for a request that has to give way; returns its retry delay in milliseconds. */
    onYield: (req: DispatchRequest) => number;
}

/** Outcome of a queued request; `left` means that it was withdrawn. */
export type QueueOutcome<C extends Candidate> =
    | { kind: "send"; choice: EndpointChoice<C>; }
    | { kind: "refuse"; reason: string; retryAfterMs: number; best?: EndpointChoice<C>; }
    | { kind: "left"; };

interface WaitingRequest<C extends Candidate> {
    req: DispatchRequest;
    decide: (ahead: number) => DispatchDecision<C>;
    /** Called synchronously after the decision, so that the next decision already counts this request as load. */
    settle: (outcome: QueueOutcome<C>) => void;
}

/** Queue of the requests of one service that wait for an endpoint with a free slot. */
export class DispatchQueue<C extends Candidate> {
    private readonly queue: WaitQueue<WaitingRequest<C>>;
    private timer: Timer | undefined;
    private isReevaluating = false;

    constructor(private readonly clock: Clock, private readonly rule?: QueueRule) {
        this.queue = new WaitQueue(() => rule?.isShared() ?? false);
    }

    get size(): number {
        return this.queue.size;
    }

    /** Returns the number of waiting requests that would be served before `req`. */
    countAhead(req: DispatchRequest): number {
        return this.queue.countAhead(req);
    }

    /**
     * Decides on a request and queues it if it has to wait. `settle` is called with the outcome, synchronously if the
     * request need not wait. The returned function withdraws a queued request and settles it as `left`.
     */
    submit(
        req: DispatchRequest,
        decide: (ahead: number) => DispatchDecision<C>,
        settle: (outcome: QueueOutcome<C>) => void,
    ): () => void {
        const decision = decide(this.queue.countAhead(req));
        if (decision.kind !== "wait") {
            settle(decision);
            return () => undefined;
        }
        const waiter: WaitingRequest<C> = { req, decide, settle };
        this.queue.push(waiter);
        this.scheduleReevaluation();
        return () => {
            this.queue.remove(waiter);
            settle({ kind: "left" });
        };
    }

    /** Decides again on the queued requests. Called when a slot may have become free. */
    reevaluate(): void {
        if (this.isReevaluating || this.queue.size === 0) {
            return;
        }
        this.isReevaluating = true;
        let lateRank = Infinity;
        for (const waiter of this.queue.inOrder()) {
            if (this.decideAgain(waiter, lateRank)) {
                lateRank = Math.min(lateRank, waiter.req.rank);
            }
        }
        this.isReevaluating = false;
        this.scheduleReevaluation();
    }

    /**
     * Decides on a queued request and returns whether it goes on waiting and would be late as things are. Requests of
     * lower urgency than `lateRank`, the most urgent rank with such a request, give way to it. An error ends only the
     * request that raised it, which has not been sent; it must not end a timer's callback.
     */
    private decideAgain(waiter: WaitingRequest<C>, lateRank: number): boolean {
        try {
            const decision = waiter.decide(0);
            if (decision.kind === "wait") {
                return wouldBeLate(decision, this.clock.now());
            }
            const outcome =
                decision.kind === "send" && waiter.req.rank > lateRank && this.mustYield(waiter.req, decision.choice)
                    ? this.refuseToYield(waiter.req, decision.choice)
                    : decision;
            this.queue.remove(waiter, outcome.kind === "send");
            waiter.settle(outcome);
        }
        catch (err) {
            this.queue.remove(waiter);
            waiter.settle({ kind: "refuse", reason: `internal error: ${String(err)}`, retryAfterMs: errorRetryMs });
        }
        return false;
    }

    private mustYield(req: DispatchRequest, { endpoint, running }: EndpointChoice<C>): boolean {
        // An endpoint with half of its slots free has capacity for both.
        return this.rule?.isShared() === true && running >= endpoint.slots / 2 && !this.queue.isOverdue(req);
    }

    private refuseToYield(req: DispatchRequest, best: EndpointChoice<C>): QueueOutcome<C> {
        return { kind: "refuse", reason: "yield", retryAfterMs: this.rule?.onYield(req) ?? errorRetryMs, best };
    }

    private scheduleReevaluation(): void {
        this.timer?.cancel();
        this.timer = this.queue.size === 0
            ? undefined
            : this.clock.schedule(this.clock.now() + reevaluationIntervalMs, () => this.reevaluate());
    }
}

/** Whether a waiting request would be late if it were sent to its best endpoint now. */
function wouldBeLate<C extends Candidate>(
    { best, waitUntil }: Extract<DispatchDecision<C>, { kind: "wait"; }>,
    now: number,
): boolean {
    return best !== undefined && best.prediction.firstByteMs - best.prediction.idleFirstByteMs > waitUntil - now;
}
