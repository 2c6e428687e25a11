import type { AdmissionRequest, Ticket } from "@lentilramp/limits";
import { FairAdmissionPolicy, LatencyTargetLimit } from "@lentilramp/limits";
import type { Clock } from "@lentilramp/runtime";

/** A request offered to an entry. */
export interface GateJob {
    request: AdmissionRequest;
    /** Dispatches the request; false when it cannot be dispatched. */
    start: (onFirstToken: (latencyMs: number) => void, onEnd: () => void) => boolean;
    refused: () => void;
}

/** Admission at one entry. */
export abstract class Gate {
    abstract offer(job: GateJob): void;
}

/** Baseline without any limit. */
export class OpenGate extends Gate {
    override offer(job: GateJob): void {
        if (!job.start(() => undefined, () => undefined)) {
            job.refused();
        }
    }
}

/** Baseline with a fixed concurrency limit and one bounded queue in order of arrival. */
export class FifoGate extends Gate {
    private readonly queue: GateJob[] = [];
    private inFlight = 0;

    constructor(private readonly limit: number, private readonly maxQueued: number) {
        super();
    }

    override offer(job: GateJob): void {
        if (this.queue.length >= this.maxQueued) {
            job.refused();
            return;
        }
        this.queue.push(job);
        this.dispatch();
    }

    private dispatch(): void {
        while (this.inFlight < this.limit && this.queue.length > 0) {
            const job = this.queue.shift() as GateJob;
            this.inFlight++;
            const started = job.start(() => undefined, () => {
                this.inFlight--;
                this.dispatch();
            });
            if (!started) {
                this.inFlight--;
                job.refused();
            }
        }
    }
}

/** Candidate: fair admission with a concurrency limit that follows the time to the first token. */
export class FairGate extends Gate {
    readonly limit = new LatencyTargetLimit();
    private readonly policy = new FairAdmissionPolicy(this.limit);
    private readonly jobs = new Map<Ticket, GateJob>();

    constructor(private readonly clock: Clock) {
        super();
    }

    override offer(job: GateJob): void {
        const result = this.policy.admit(job.request, this.clock.now());
        if (result.isErr()) {
            job.refused();
        }
        else {
            this.jobs.set(result.value, job);
        }
        this.dispatch();
    }

    private dispatch(): void {
        for (let ticket = this.policy.next(this.clock.now()); ticket; ticket = this.policy.next(this.clock.now())) {
            this.start(ticket);
        }
        for (const { ticket } of this.policy.takeRefused()) {
            this.jobs.get(ticket)?.refused();
            this.jobs.delete(ticket);
        }
    }

    private start(ticket: Ticket): void {
        const job = this.jobs.get(ticket) as GateJob;
        this.jobs.delete(ticket);
        const inFlight = this.policy.inFlight;
        const started = job.start(ms => this.limit.onSample(ms, inFlight, true), () => {
            this.policy.onFinished(ticket, true, this.clock.now());
            this.dispatch();
        });
        if (!started) {
            this.policy.onFinished(ticket, false, this.clock.now());
            job.refused();
        }
    }
}
