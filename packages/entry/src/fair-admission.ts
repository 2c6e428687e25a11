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

/** Queued requests are looked at this often, so that one that can no longer meet its deadline is answered. */
const checkMs = 50;

export interface FairAdmissionSettings {
    engine: Partial<LatencyTargetOptions>;
    service: Partial<LatencyTargetOptions>;
}

/**
 * Limits of one entry. The first token is held to the 560 ms of the latency target. The setting `engineConcurrency`
 * gives the first limit for engines; its default of 512 leaves room for the 444 streams of a node's share at the target
 * size (6,250 tokens/s at 71 ms).
 */
export const fairAdmissionSettings: FairAdmissionSettings = {
    engine: { maxLimit: 4_096, targetMs: 560 },
    service: { initialLimit: 128, maxLimit: 1_024, targetMs: 750 },
};

interface Waiting {
    resolve: (release: Release) => void;
    reject: (err: CallerError) => void;
}

/** Admission of one class of work. */
class AdmissionLane {
    private readonly limit: LatencyTargetLimit;
    private readonly policy: FairAdmissionPolicy;
    private readonly waiting = new Map<Ticket, Waiting>();
    private timer: Timer | undefined;

    constructor(
        limit: Partial<LatencyTargetOptions>,
        workspaceWeight: (workspace: string) => number,
        private readonly clock: Clock,
        private readonly onRefused: (kind: string) => void,
    ) {
        this.limit = new LatencyTargetLimit(limit);
        this.policy = new FairAdmissionPolicy(this.limit, { workspaceWeight });
    }

    get status(): object {
        return { limit: this.limit.limit, inFlight: this.policy.inFlight, queued: this.policy.queued };
    }

    enter(context: RequestContext, cost: AdmissionCost): Promise<Release> {
        const { workspace, priority, deadline } = context;
        const ticket = this.policy.admit(
            { workspace, priority, deadline, cost: cost.tokens, kind: cost.name },
            this.clock.now(),
        );
        if (ticket.isErr()) {
            return Promise.reject(this.toError(ticket.error));
        }
        return new Promise((resolve, reject) => {
            this.waiting.set(ticket.value, { resolve, reject });
            this.dispatch();
        });
    }

    private dispatch(): void {
        const now = this.clock.now();
        for (let ticket = this.policy.next(now); ticket !== undefined; ticket = this.policy.next(now)) {
            const waiting = this.waiting.get(ticket);
            this.waiting.delete(ticket);
            waiting?.resolve(this.releaseOf(ticket));
        }
        for (const { ticket, refusal } of this.policy.takeRefused()) {
            const waiting = this.waiting.get(ticket);
            this.waiting.delete(ticket);
            waiting?.reject(this.toError(refusal));
        }
        if (this.waiting.size > 0) {
            this.timer ??= this.clock.schedule(now + checkMs, () => {
                this.timer = undefined;
                this.dispatch();
            });
        }
    }

    private releaseOf(ticket: Ticket): Release {
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

    private toError(refusal: AdmissionRefusal): CallerError {
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

/** Admission with fair shares by workspace, bounded queues and deadlines; one lane each for engines and services. */
export class FairAdmission extends Admission {
    private readonly lanes: Readonly<Record<AdmissionCost["kind"], AdmissionLane>>;

    constructor(
        workspaceWeight: (workspace: string) => number,
        clock: Clock,
        metrics: Metrics,
        settings: FairAdmissionSettings = fairAdmissionSettings,
    ) {
        super();
        const lane = (kind: AdmissionCost["kind"]): AdmissionLane =>
            new AdmissionLane(
                settings[kind],
                workspaceWeight,
                clock,
                reason => metrics.count("requests.refused", 1, { kind, reason }),
            );
        this.lanes = { engine: lane("engine"), service: lane("service") };
    }

    get status(): unknown {
        return { engine: this.lanes.engine.status, service: this.lanes.service.status };
    }

    override async admit(context: RequestContext, cost: AdmissionCost): Promise<Release> {
        return await this.lanes[cost.kind].enter(context, cost);
    }
}
