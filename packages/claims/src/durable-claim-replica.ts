import type { Clock } from "@lentilramp/runtime";
import type { ClaimReplica } from "./claim-replica.ts";
import type { ClaimMessage, ClaimReply } from "./messages.ts";
import type { RegisterUpdate } from "./register-update-codec.ts";
import { encodeRegisterUpdate } from "./register-update-codec.ts";

/** Durable storage of register updates, for example a journal. */
export abstract class ClaimStorage {
    /**
     * Resolves with the index of the record once it is synced; indices grow in the order of the calls. After a later
     * record has been acknowledged, a rejected record must not reappear on a restart, because both may be for the same
     * key.
     */
    abstract append(record: Uint8Array): Promise<number>;
}

/**
 * Claim replica with durable storage: a reply is sent only after the updates that it reflects are synced. Messages for
 * a key with an unsynced update wait, so that a failed append needs no rollback and no reply shows a record that may
 * still be lost.
 */
export class DurableClaimReplica {
    private readonly pendingWrites = new Map<string, Promise<unknown>>();
    private lastApplied: number;

    constructor(
        readonly replica: ClaimReplica,
        private readonly storage: ClaimStorage,
        private readonly clock: Clock,
        lastIndex = 0,
    ) {
        this.lastApplied = lastIndex;
    }

    /** Index of the last storage record that the replica has applied. */
    get appliedIndex(): number {
        return this.lastApplied;
    }

    /**
     * Encodes the registers and awaits `pause` after each chunk, so that other work of the process can run. The
     * snapshot replaces the storage records up to `throughIndex`.
     */
    async takeSnapshot(pause: () => Promise<void>): Promise<{ chunks: Uint8Array[]; throughIndex: number; }> {
        const throughIndex = this.lastApplied;
        const chunks: Uint8Array[] = [];
        for (const chunk of this.replica.snapshotChunks()) {
            chunks.push(chunk);
            await pause();
        }
        return { chunks, throughIndex };
    }

    async handle(message: ClaimMessage): Promise<ClaimReply> {
        const key = message.key.toLowerCase();
        for (
            let pending = this.pendingWrites.get(key);
            pending !== undefined;
            pending = this.pendingWrites.get(key)
        ) {
            await pending;
        }
        const { reply, update } = this.replica.decide(message, this.clock.now());
        if (update === undefined) {
            return reply;
        }
        const stored = this.store(update).finally(() => this.pendingWrites.delete(key));
        this.pendingWrites.set(key, stored);
        return await stored ? reply : { kind: "refused", replica: reply.replica, reason: "storage" };
    }

    private async store(update: RegisterUpdate): Promise<boolean> {
        try {
            this.lastApplied = await this.storage.append(encodeRegisterUpdate(update));
            this.replica.apply(update);
            return true;
        }
        catch {
            // The storage reports the error; the sender of the message gets the refusal `storage`.
            return false;
        }
    }
}

/**
 * Returns whether a snapshot is due. The interval, in records, grows with the table, so that the cost of snapshots per
 * record stays constant and a restart reads at most twice the table.
 */
export function snapshotDue(recordsSinceSnapshot: number, tableRecords: number, interval = 1_000): boolean {
    return recordsSinceSnapshot >= Math.max(interval, tableRecords);
}
