import type { Clock } from "@lentilramp/runtime";
import type { ClaimReplica } from "./claim-replica.ts";
import type { ClaimMessage, ClaimReply } from "./messages.ts";
import type { RegisterUpdate } from "./register-update-codec.ts";
import { encodeRegisterUpdate } from "./register-update-codec.ts";

/** Durable storage of effects, for example a journal. */
export abstract class ClaimStorage {
    /**
     * Resolves with the index of the record when it is synced; indices grow in the order of the calls. A rejected
     * record must not come back in a restart once a later record has been acknowledged, since that record can be for
     * the same key.
     */
    abstract append(record: Uint8Array): Promise<number>;
}

/**
 * Claim replica with storage: a reply is sent after the effects on which it rests are synced. Messages for a key with
 * an unsynced effect wait, so that a failed append needs no undo and no reply shows a record that can be lost.
 */
export class DurableClaimReplica {
    private readonly pending = new Map<string, Promise<unknown>>();
    private applied: number;

    constructor(
        readonly replica: ClaimReplica,
        private readonly storage: ClaimStorage,
        private readonly clock: Clock,
        lastIndex = 0,
    ) {
        this.applied = lastIndex;
    }

    /** Index of the last storage record that the table includes. */
    get appliedIndex(): number {
        return this.applied;
    }

    /**
     * Encodes the table and calls `pause` between chunks, so that other work of the process goes on. The snapshot
     * replaces the storage records up to `throughIndex`.
     */
    async takeSnapshot(pause: () => Promise<void>): Promise<{ chunks: Uint8Array[]; throughIndex: number; }> {
        const throughIndex = this.applied;
        const chunks: Uint8Array[] = [];
        for (const chunk of this.replica.snapshotChunks()) {
            chunks.push(chunk);
            await pause();
        }
        return { chunks, throughIndex };
    }

    async handle(message: ClaimMessage): Promise<ClaimReply> {
        const key = message.key.toLowerCase();
        for (let wait = this.pending.get(key); wait !== undefined; wait = this.pending.get(key)) {
            await wait;
        }
        const { reply, update } = this.replica.decide(message, this.clock.now());
        if (update === undefined) {
            return reply;
        }
        const stored = this.store(update).finally(() => this.pending.delete(key));
        this.pending.set(key, stored);
        return await stored ? reply : { kind: "refused", replica: reply.replica, reason: "storage" };
    }

    private async store(update: RegisterUpdate): Promise<boolean> {
        try {
            this.applied = await this.storage.append(encodeRegisterUpdate(update));
            this.replica.apply(update);
            return true;
        }
        catch {
            // The storage reports its own error; here only the reply changes.
            return false;
        }
    }
}

/**
 * Says whether a snapshot is due. The interval grows with the table, so that the cost of snapshots for each record
 * stays constant and a restart reads at most twice the table.
 */
export function snapshotDue(recordsSinceSnapshot: number, tableRecords: number, interval = 1_000): boolean {
    return recordsSinceSnapshot >= Math.max(interval, tableRecords);
}
