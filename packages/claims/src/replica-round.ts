import type { Clock, Timer } from "@lentilramp/runtime";
import type { ClaimTransport } from "./claim-transport.ts";
import type { ClaimReplicaAddress } from "./generations.ts";
import type { RegisterView } from "./key-state.ts";
import { laterView } from "./key-state.ts";
import type { ClaimOperation, ClaimRefusal, ClaimReply } from "./messages.ts";

/** What one caller of the claim protocol knows of the replicas of a key. */
export class ReplicaViews {
    readonly registers: RegisterView[];
    /** Claim writes sent to each replica, less those refused without being stored. */
    private readonly possiblyWritten: number[];

    constructor(readonly replicas: readonly ClaimReplicaAddress[], readonly key: string) {
        this.registers = replicas.map(() => undefined);
        this.possiblyWritten = replicas.map(() => 0);
    }

    /** True when a replica can hold a record of this caller. */
    get mayHoldRecord(): boolean {
        return this.possiblyWritten.some(count => count > 0);
    }

    noteSent(i: number): void {
        this.possiblyWritten[i] = (this.possiblyWritten[i] ?? 0) + 1;
    }

    noteReply(i: number, reply: ClaimReply): void {
        if (reply.kind === "register") {
            this.registers[i] = laterView(this.registers[i], reply.register);
        }
        // A record whose sync failed can still be found after a restart of the replica.
        else if (reply.reason !== "storage") {
            this.possiblyWritten[i] = (this.possiblyWritten[i] ?? 0) - 1;
        }
    }
}

export interface RoundContext {
    clock: Clock;
    transport: ClaimTransport;
    resendMs: number;
}

/** These refusals can end while the round lasts. */
const passing: readonly ClaimRefusal[] = ["full", "storage"];

/**
 * Sends one operation to all replicas of a key, again after `resendMs` to those without a reply. Resolves with the
 * first result of `evaluate`, which is called after each reply, or with undefined at `deadline` or when all replicas
 * have given a final reply. Replies that arrive later are ignored.
 */
export function runRound<T>(
    context: RoundContext,
    views: ReplicaViews,
    operation: ClaimOperation,
    deadline: number,
    evaluate: () => T | undefined,
): Promise<T | undefined> {
    const { clock, transport, resendMs } = context;
    return new Promise(resolve => {
        const waiting = new Set(views.replicas.keys());
        let timer: Timer | undefined;
        let ended = false;
        const end = (result: T | undefined) => {
            ended = true;
            timer?.cancel();
            resolve(result);
        };
        const onReply = (i: number, reply: ClaimReply) => {
            if (ended) {
                return;
            }
            views.noteReply(i, reply);
            if (reply.kind === "register" || !passing.includes(reply.reason)) {
                waiting.delete(i);
            }
            const result = evaluate();
            if (result !== undefined || waiting.size === 0) {
                end(result);
            }
        };
        const sendWaiting = () => {
            if (clock.now() >= deadline) {
                end(undefined);
                return;
            }
            // The timer is set first, since a transport may reply at once.
            timer = clock.schedule(Math.min(deadline, clock.now() + resendMs), sendWaiting);
            for (const i of [...waiting]) {
                const replica = views.replicas[i] as ClaimReplicaAddress;
                if (operation.kind === "write") {
                    views.noteSent(i);
                }
                const message = { replica: replica.identity, key: views.key, operation };
                // A failed send is like a lost reply: the timer sends it again.
                transport.send(replica, message, deadline).then(reply => onReply(i, reply), () => undefined);
            }
        };
        sendWaiting();
    });
}
