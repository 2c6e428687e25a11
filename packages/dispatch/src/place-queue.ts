import type { Clock, Timer } from "@lentilramp/runtime";
import type { Choice, Decision } from "./dispatcher.ts";
import type { Candidate, DispatchRequest } from "./types.ts";
import { WaitQueue } from "./wait-queue.ts";

/** Waiting requests are looked at again at least this often, in milliseconds, since others' load changes unseen. */
const lookAgainMs = 15;

export type PlaceOutcome<C extends Candidate> =
    | { kind: "send"; choice: Choice<C>; }
    | { kind: "refuse"; reason: string; retryAfterMs: number; best?: Choice<C>; }
    | { kind: "left"; };

interface Waiter<C extends Candidate> {
    req: DispatchRequest;
    decide: (ahead: number) => Decision<C>;
    /** Called in the same turn in which the place was chosen, so that the next decision sees it taken. */
    settle: (outcome: PlaceOutcome<C>) => void;
}

/** Requests of one service that wait for a place. */
export class PlaceQueue<C extends Candidate> {
    private readonly queue = new WaitQueue<Waiter<C>>();
    private timer: Timer | undefined;
    private pumping = false;

    constructor(private readonly clock: Clock) {}

    get size(): number {
        return this.queue.size;
    }

    /** Calls `settle` at once or later, exactly once; returns a function that withdraws the request. */
    enter(
        req: DispatchRequest,
        decide: (ahead: number) => Decision<C>,
        settle: (outcome: PlaceOutcome<C>) => void,
    ): () => void {
        const decision = decide(this.queue.ahead(req));
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
    pump(): void {
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
            : this.clock.schedule(this.clock.now() + lookAgainMs, () => this.pump());
    }
}
