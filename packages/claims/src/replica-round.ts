import type { Clock, Timer } from "@lentilramp/runtime";
import type { ClaimTransport } from "./claim-transport.ts";
import type { ClaimReplicaAddress } from "./generations.ts";
import type { RegisterView } from "./key-state.ts";
import { newerView } from "./key-state.ts";
import type { ClaimOperation, ClaimRefusal, ClaimReply } from "./messages.ts";

/** Registers that the replicas of a key have reported to one claim or lookup, and the claim writes sent to them. */
export class ReplicaViews {
    readonly registers: RegisterView[];
    /** Number of claim writes sent to each replica, minus those that the replica refused without storing them. */
    private readonly possibleWrites: number[];

    constructor(readonly replicas: readonly ClaimReplicaAddress[], readonly key: string) {
        this.registers = replicas.map(() => undefined);
        this.possibleWrites = replicas.map(() => 0);
    }

    /** Whether any replica may hold the record of this claim. */
    get mayHoldRecord(): boolean {
        return this.possibleWrites.some(count => count > 0);
    }

    countSentWrite(i: number): void {
        this.possibleWrites[i] = (this.possibleWrites[i] ?? 0) + 1;
    }

    applyReply(i: number, reply: ClaimReply): void {
        if (reply.kind === "register") {
            this.registers[i] = newerView(this.registers[i], reply.register);
        }
        // A record whose sync failed may still be on disk and reappear when the replica restarts.
        else if (reply.reason !== "storage") {
            this.possibleWrites[i] = (this.possibleWrites[i] ?? 0) - 1;
        }
    }
}

export interface RoundContext {
    clock: Clock;
    transport: ClaimTransport;
    resendMs: number;
}

/** Refusals whose cause may be gone when the message is sent again in the same round. */
const transientRefusals: readonly ClaimRefusal[] = ["full", "storage"];

/**
 * Sends one operation to all replicas of a key, and every `resendMs` again to those without a final reply. Resolves
 * with the first defined result of `evaluate`, which is called after each reply, or with undefined at `deadline` or
 * once all replicas have given a final reply. Later replies are ignored.
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
        const unanswered = new Set(views.replicas.keys());
        let timer: Timer | undefined;
        let isSettled = false;
        const settle = (result: T | undefined) => {
            isSettled = true;
            timer?.cancel();
            resolve(result);
        };
        const onReply = (i: number, reply: ClaimReply) => {
            if (isSettled) {
                return;
            }
            views.applyReply(i, reply);
            if (reply.kind === "register" || !transientRefusals.includes(reply.reason)) {
                unanswered.delete(i);
            }
            const result = evaluate();
            if (result !== undefined || unanswered.size === 0) {
                settle(result);
            }
        };
        const sendUnanswered = () => {
            if (clock.now() >= deadline) {
                settle(undefined);
                return;
            }
            // The timer is set before sending, because a transport may reply immediately.
            timer = clock.schedule(Math.min(deadline, clock.now() + resendMs), sendUnanswered);
            for (const i of [...unanswered]) {
                const replica = views.replicas[i] as ClaimReplicaAddress;
                if (operation.kind === "write") {
                    views.countSentWrite(i);
                }
                const message = { replica: replica.identity, key: views.key, operation };
                // A failed send is treated like a lost reply: the timer resends the message.
                transport.send(replica, message, deadline).then(reply => onReply(i, reply), () => undefined);
            }
        };
        sendUnanswered();
    });
}
