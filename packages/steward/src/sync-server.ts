import { SyncBacklog } from "@lentilramp/fleet";
import type { SyncAnswer, SyncRequest } from "@lentilramp/ingress";
import { RpcError, rpcErrorCodes } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";

interface WaitingSync {
    req: SyncRequest;
    resolve: (answer: SyncAnswer) => void;
    reject: (err: Error) => void;
}

/**
 * Answers one sync in each turn of the event loop, so that messages of the agreement and operators' calls are handled
 * between two of them however many ingresses ask.
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
            this.backlog.push({ req, resolve, reject }, this.clock.now() + req.waitMs);
            this.schedule();
        });
    }

    private schedule(): void {
        if (!this.isScheduled && this.backlog.size > 0) {
            this.isScheduled = true;
            setImmediate(() => {
                this.isScheduled = false;
                this.serveNewest();
                this.schedule();
            });
        }
    }

    private serveNewest(): void {
        const now = this.clock.now();
        for (const { reject } of this.backlog.dropExpired(now)) {
            this.droppedCount++;
            reject(new RpcError("rejected", "the sync waited too long", rpcErrorCodes.unavailable));
        }
        const next = this.backlog.takeNewest(now);
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
