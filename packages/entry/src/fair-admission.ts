import {
    type AdmissionRefusal,
    FairAdmissionPolicy,
    LatencyTargetLimit,
    type LatencyTargetOptions,
    type Ticket,
} from "@lentilramp/limits";
import type { Clock, Metrics, Timer } from "@lentilramp/runtime";
import { Admission, type AdmissionCost, type Release } from "./admission.ts";
import { CallerError } from "./caller-error.ts";
import type { RequestContext } from "./request-context.ts";

/** Interval at which queued requests are checked, so that those that can no longer meet their deadline are refused. */
const queueCheckIntervalMs = 50;

export interface FairAdmissionSettings {
    engine: Partial<LatencyTargetOptions>;
    service: Partial<LatencyTargetOptions>;
}

/**
 * Concurrency limits of one entry. The target for engines is the latency target of 560 ms to the first token. The
 * setting `engineConcurrency` gives the initial limit for engines; its default of 512 leaves headroom above the 444
 * streams that a node serves at the target size (6,250 tokens/s at 71 ms per token).
 */
export const fairAdmissionSettings: FairAdmissionSettings = {
    engine: { maxLimit: 4_096, targetMs: 560 },
    service: { initialLimit: 128, maxLimit: 1_024, targetMs: 750 },
};

interface PendingRequest {
    resolve: (release: Release) => void;
    reject: (err: CallerError) => void;
}

/** Concurrency limit and queue for one kind of work. */
class AdmissionQueue {
    private readonly limit: LatencyTargetLimit;
    private readonly policy: FairAdmissionPolicy;
    private readonly pending = new Map<Ticket, PendingRequest>();
    private timer: Timer | undefined;

    constructor(
        limitOptions: Partial<LatencyTargetOptions>,
        workspaceWeight: (workspace: string) => number,
        private readonly clock: Clock,
        private readonly onRefused: (kind: string) => void,
    ) {
        this.limit = new LatencyTargetLimit(limitOptions);
        this.policy = new FairAdmissionPolicy(this.limit, { workspaceWeight });
    }

    get status(): object {
        return { limit: this.limit.limit, inFlight: this.policy.inFlight, queued: this.policy.queued };
    }

    admit(context: RequestContext, cost: AdmissionCost): Promise<Release> {
        const { workspace, priority, deadline } = context;
        const ticket = this.policy.admit(
            { workspace, priority, deadline, cost: cost.tokens, kind: cost.name },
            this.clock.now(),
        );
        if (ticket.isErr()) {
            return Promise.reject(this.toCallerError(ticket.error));
        }
        return new Promise((resolve, reject) => {
            this.pending.set(ticket.value, { resolve, reject });
            this.dispatch();
        });
    }

    private dispatch(): void {
        const now = this.clock.now();
        for (let ticket = this.policy.next(now); ticket !== undefined; ticket = this.policy.next(now)) {
            const pendingRequest = this.pending.get(ticket);
            this.pending.delete(ticket);
            pendingRequest?.resolve(this.createRelease(ticket));
        }
        for (const { ticket, refusal } of this.policy.takeRefused()) {
            const pendingRequest = this.pending.get(ticket);
            this.pending.delete(ticket);
            pendingRequest?.reject(this.toCallerError(refusal));
        }
        if (this.pending.size > 0) {
            this.timer ??= this.clock.schedule(now + queueCheckIntervalMs, () => {
                this.timer = undefined;
                this.dispatch();
            });
        }
    }

    private createRelease(ticket: Ticket): Release {
        const { inFlight } = this.policy;
        let released = false;
        return (ok, firstByteMs) => {
            if (released) {
                return;
            }
            released = true;
            this.policy.onFinished(ticket, ok, this.clock.now());
            if (firstByteMs !== undefined || !ok) {
                this.limit.onSample(firstByteMs ?? 0, inFlight, ok);
            }
            this.dispatch();
        };
    }

    private toCallerError(refusal: AdmissionRefusal): CallerError {
        this.onRefused(refusal.kind);
        return refusal.kind === "deadline"
            ? new CallerError(
                503,
                "deadline-unreachable",
                "the request could not end by its deadline",
                "not-run",
                refusal.retryAfterMs,
            )
            : new CallerError(429, "overloaded", "refused before any work was done", "not-run", refusal.retryAfterMs);
    }
}

/**
 * Admission with fair shares by workspace, bounded queues and deadlines. Engines and services have separate limits and
 * queues.
 */
export class FairAdmission extends Admission {
    private readonly queues: Readonly<Record<AdmissionCost["kind"], AdmissionQueue>>;

    constructor(
        workspaceWeight: (workspace: string) => number,
        clock: Clock,
        metrics: Metrics,
        settings: FairAdmissionSettings = fairAdmissionSettings,
    ) {
        super();
        const createQueue = (kind: AdmissionCost["kind"]): AdmissionQueue =>
            new AdmissionQueue(
                settings[kind],
                workspaceWeight,
                clock,
                reason => metrics.count("requests.refused", 1, { kind, reason }),
            );
        this.queues = { engine: createQueue("engine"), service: createQueue("service") };
    }

    get status(): unknown {
        return { engine: this.queues.engine.status, service: this.queues.service.status };
    }

    override async admit(context: RequestContext, cost: AdmissionCost): Promise<Release> {
        return await this.queues[cost.kind].admit(context, cost);
    }
}
