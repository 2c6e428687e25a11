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
    private readonly queue = new WaitQueue<WaitingRequest<C>>();
    private timer: Timer | undefined;
    private isReevaluating = false;

    constructor(private readonly clock: Clock) {}

    get size(): number {
        return this.queue.size;
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
        for (const waiter of this.queue.inOrder()) {
            this.decideAgain(waiter);
        }
        this.isReevaluating = false;
        this.scheduleReevaluation();
    }

    /** An error ends only the request that raised it, which has not been sent; it must not end a timer's callback. */
    private decideAgain(waiter: WaitingRequest<C>): void {
        try {
            const decision = waiter.decide(0);
            if (decision.kind !== "wait") {
                this.queue.remove(waiter);
                waiter.settle(decision);
            }
        }
        catch (err) {
            this.queue.remove(waiter);
            waiter.settle({ kind: "refuse", reason: `internal error: ${String(err)}`, retryAfterMs: errorRetryMs });
        }
    }

    private scheduleReevaluation(): void {
        this.timer?.cancel();
        this.timer = this.queue.size === 0
            ? undefined
            : this.clock.schedule(this.clock.now() + reevaluationIntervalMs, () => this.reevaluate());
    }
}
