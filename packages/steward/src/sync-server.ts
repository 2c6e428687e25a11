import type { SyncAnswer, SyncRequest } from "@lentilramp/exchange";
import { SyncBacklog } from "@lentilramp/fleet";
import { RpcError, rpcErrorCodes } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";

interface WaitingSync {
    req: SyncRequest;
    resolve: (answer: SyncAnswer) => void;
    reject: (err: Error) => void;
}

/** Time for which syncs are answered in one turn of the event loop, in milliseconds. */
const sliceMs = 8;

/**
 * Answers syncs in short slices of time, so that messages of the agreement and operators' calls are handled in between
 * however many ingresses ask.
 */
export class SyncServer {
    private readonly backlog = new SyncBacklog<WaitingSync>();
    private isScheduled = false;
    private droppedCount = 0;

    constructor(private readonly answer: (req: SyncRequest) => SyncAnswer, private readonly clock: Clock) {}

    /** Number of syncs that were dropped because their senders no longer waited. */
    get dropped(): number {
        return this.droppedCount;
    }

    get waiting(): number {
        return this.backlog.size;
    }

    /** Resolves with the answer to a sync; rejects with an RpcError when its sender has given up. */
    handle(req: SyncRequest): Promise<SyncAnswer> {
        return new Promise((resolve, reject) => {
            this.backlog.push({ req, resolve, reject }, this.clock.now(), req.waitMs);
            this.schedule();
        });
    }

    private schedule(): void {
        if (!this.isScheduled && this.backlog.size > 0) {
            this.isScheduled = true;
            setImmediate(() => {
                this.isScheduled = false;
                this.serveSlice();
                this.schedule();
            });
        }
    }

    private serveSlice(): void {
        const sliceEnd = this.clock.now() + sliceMs;
        for (const { reject } of this.backlog.dropExpired(this.clock.now())) {
            this.droppedCount++;
            reject(new RpcError("rejected", "the sync waited too long", rpcErrorCodes.unavailable));
        }
        while (this.clock.now() < sliceEnd) {
            const next = this.backlog.takeNext(this.clock.now());
            if (next === undefined) {
                return;
            }
            try {
                next.resolve(this.answer(next.req));
            }
            catch (err) {
                next.reject(err instanceof Error ? err : new Error(String(err)));
            }
        }
    }
}
