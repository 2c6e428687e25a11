import PQueue from "p-queue";
import { Admission, type AdmissionCost, type Release } from "./admission.ts";
import { CallerError } from "./caller-error.ts";
import type { RequestContext } from "./request-context.ts";

export interface BoundedAdmissionOptions {
    concurrency: number;
    maxWaiting: number;
}

export const boundedAdmissionDefaults: BoundedAdmissionOptions = { concurrency: 8_192, maxWaiting: 1_024 };
const retryMs = 1_000;
const ranks = { high: 2, normal: 1, low: 0 } as const;

/** One bounded queue by priority for all workspaces. */
export class BoundedAdmission extends Admission {
    private readonly queue: PQueue;

    constructor(private readonly options: BoundedAdmissionOptions = boundedAdmissionDefaults) {
        super();
        this.queue = new PQueue({ concurrency: options.concurrency });
    }

    get status(): unknown {
        return { waiting: this.queue.size, running: this.queue.pending };
    }

    override async enter(context: RequestContext, cost: AdmissionCost): Promise<Release> {
        void cost;
        if (this.queue.size >= this.options.maxWaiting) {
            throw new CallerError(429, "overloaded", "the queue of this entry is full", "not-run", retryMs);
        }
        return await new Promise<Release>(resolve => {
            const run = (): Promise<void> => new Promise<void>(ended => resolve(() => ended()));
            void this.queue.add(run, { priority: ranks[context.priority] });
        });
    }
}
