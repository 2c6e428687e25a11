import type { FailureKind, HedgingPolicy, RetryPolicy } from "@lentilramp/retries";
import { isEndpointFault } from "@lentilramp/retries";
import type { EndpointTable, RouteRequest, RoutingPolicy } from "@lentilramp/routing";
import type { Timer } from "@lentilramp/runtime";
import type { EventQueue } from "./event-queue.ts";
import type { FakeService } from "./service.ts";

/** The part of an entry that calls plain services. */
export interface RetryingEntry {
    table: EndpointTable;
    policy: RoutingPolicy<RouteRequest>;
    retry: RetryPolicy;
    hedging: HedgingPolicy | undefined;
    /** False for baselines that ignore failures in the choice. */
    ejects: boolean;
    recordRequest: (now: number) => void;
}

export interface CallOptions {
    attemptTimeoutMs: number;
    linkDelayMs: number;
    onDispatch: (at: number) => void;
}

/** One idempotent call with its attempts, at most one of them a hedge. */
export class RetryingCall {
    private readonly tried = new Set<string>();
    private attempts = 0;
    private open = 0;
    private done = false;
    private hedge: Timer | undefined;

    constructor(
        private readonly clock: EventQueue,
        private readonly entry: RetryingEntry,
        private readonly services: ReadonlyMap<string, FakeService>,
        private readonly options: CallOptions,
        private readonly call: { id: string; serviceMs: number; deadline: number; onEnd: (ok: boolean) => void; },
    ) {}

    start(): void {
        const now = this.clock.now();
        this.entry.recordRequest(now);
        this.attempt();
        const hedgeAt = this.entry.hedging?.hedgeAt("plain", now);
        if (hedgeAt !== undefined) {
            this.hedge = this.clock.schedule(hedgeAt, () => {
                if (!this.done && this.entry.hedging?.tryHedge("plain", this.call.deadline, this.clock.now())) {
                    this.attempt();
                }
            });
        }
    }

    private attempt(): void {
        const { clock, entry, options } = this;
        const now = clock.now();
        const req = { priority: "normal" as const, deadline: this.call.deadline, excluded: this.tried };
        const choice = entry.policy.choose(req, entry.table, now);
        if (choice.isErr()) {
            this.end(false);
            return;
        }
        const id = choice.value.endpoint.id;
        const attempt = `${this.call.id}.${this.attempts++}`;
        this.tried.add(id);
        this.open++;
        options.onDispatch(now);
        entry.table.recordCall(attempt, id, req, now);
        let settled = false;
        const settle = (failure: FailureKind | undefined) => {
            if (!settled) {
                settled = true;
                this.open--;
                entry.table.inFlight.recordEnd(attempt);
                this.settled(id, now, failure);
            }
        };
        clock.schedule(now + options.attemptTimeoutMs, () => settle("timeout"));
        clock.schedule(now + options.linkDelayMs, () => {
            const answer = () => clock.schedule(clock.now() + options.linkDelayMs, () => settle(undefined));
            if (this.services.get(id)?.call(this.call.serviceMs, answer) === false) {
                clock.schedule(clock.now() + options.linkDelayMs, () => settle("not-sent"));
            }
        });
    }

    private settled(id: string, sentAt: number, failure: FailureKind | undefined): void {
        const { clock, entry } = this;
        const now = clock.now();
        if (failure === undefined) {
            entry.table.recordSuccess(id, now - sentAt, now);
            entry.hedging?.record(now - sentAt);
            this.end(true);
            return;
        }
        if (entry.ejects && isEndpointFault(failure)) {
            entry.table.recordFailure(id, now);
        }
        if (this.done) {
            return;
        }
        const plan = entry.retry.onFailure({
            request: "plain",
            failure,
            attempts: this.attempts,
            deadline: this.call.deadline,
            minAttemptMs: 20,
        }, now);
        if (plan.isOk()) {
            this.open++;
            clock.schedule(plan.value.startAt, () => {
                this.open--;
                if (!this.done) {
                    this.attempt();
                }
            });
        }
        else if (this.open === 0) {
            this.end(false);
        }
    }

    private end(ok: boolean): void {
        if (!this.done) {
            this.done = true;
            this.hedge?.cancel();
            this.call.onEnd(ok);
        }
    }
}
