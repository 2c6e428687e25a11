import type { Clock, Timer } from "@lentilramp/runtime";
import type { DispatchDecision, EndpointChoice } from "./dispatcher.ts";
import type { Candidate, DispatchRequest } from "./types.ts";
import { WaitQueue } from "./wait-queue.ts";

/** Waiting requests are looked at again at least this often, in milliseconds, since others' load changes unseen. */
const lookAgainMs = 15;

export type QueueOutcome<C extends Candidate> =
    | { kind: "send"; choice: EndpointChoice<C>; }
    | { kind: "refuse"; reason: string; retryAfterMs: number; best?: EndpointChoice<C>; }
    | { kind: "left"; };

interface Waiter<C extends Candidate> {
    req: DispatchRequest;
    decide: (ahead: number) => DispatchDecision<C>;
    /** Called in the same turn in which the place was chosen, so that the next decision sees it taken. */
    settle: (outcome: QueueOutcome<C>) => void;
}

/** Requests of one service that wait for a place. */
export class DispatchQueue<C extends Candidate> {
    private readonly queue = new WaitQueue<Waiter<C>>();
    private timer: Timer | undefined;
    private pumping = false;

    constructor(private readonly clock: Clock) {}

    get size(): number {
        return this.queue.size;
    }

    /** Calls `settle` at once or later, exactly once; returns a function that withdraws the request. */
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
        const waiter: Waiter<C> = { req, decide, settle };
        this.queue.push(waiter);
        this.schedule();
        return () => {
            this.queue.remove(waiter);
            settle({ kind: "left" });
        };
    }

    /** Looks at the waiting requests again; to be called when a place may have become free. */
    reevaluate(): void {
        if (this.pumping || this.queue.size === 0) {
            return;
        }
        this.pumping = true;
        for (const waiter of this.queue.inOrder()) {
            const decision = waiter.decide(0);
            if (decision.kind !== "wait") {
                this.queue.remove(waiter);
                waiter.settle(decision);
            }
        }
        this.pumping = false;
        this.schedule();
    }

    private schedule(): void {
        this.timer?.cancel();
        this.timer = this.queue.size === 0
            ? undefined
            : this.clock.schedule(this.clock.now() + lookAgainMs, () => this.reevaluate());
    }
}
