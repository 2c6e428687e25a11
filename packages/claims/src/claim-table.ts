import { RETENTION_MS } from "./constants.ts";
import type { Register } from "./messages.ts";
import type { RequestKey } from "./request-key.ts";

/** Width of a bucket of issue times; records are dropped by whole buckets, so they stay at most this much longer. */
const BUCKET_MS = 10 * 60 * 1_000;
/**
 * Memory that is counted for a record and its outcome without the body. The experiment `claim-cost` measures up to 300
 * bytes for a claim and up to 369 bytes more for an outcome; the rest covers the growth of the maps.
 */
export const RECORD_MEMORY_BYTES = 768;

const emptyRegister: Register = { kind: "empty" };

function bodyBytes(register: Register): number {
    return register.kind === "claimed" && register.outcome?.kind === "completed"
        ? register.outcome.body?.length ?? 0
        : 0;
}

/** Counted memory of a stored register. */
export function registerBytes(register: Register): number {
    return RECORD_MEMORY_BYTES + bodyBytes(register);
}

interface Bucket {
    records: Map<string, Register>;
    /** Counted memory, kept for each bucket so that a bucket is dropped without a pass over its records. */
    memory: number;
}

/** Records by key, in buckets by issue time so that expiry needs no search. */
export class ClaimTable {
    private readonly buckets = new Map<number, Bucket>();
    private recordCount = 0;
    private memory = 0;
    private dropped = 0;

    get records(): number {
        return this.recordCount;
    }

    /** Counted memory in bytes. */
    get memoryBytes(): number {
        return this.memory;
    }

    /** Records of keys issued before this instant have been dropped. */
    get droppedThrough(): number {
        return this.dropped;
    }

    get(key: RequestKey): Register {
        return this.buckets.get(this.bucketOf(key))?.records.get(key.text) ?? emptyRegister;
    }

    put(key: RequestKey, register: Register): void {
        const bucket = this.buckets.get(this.bucketOf(key)) ?? { records: new Map<string, Register>(), memory: 0 };
        this.buckets.set(this.bucketOf(key), bucket);
        const old = bucket.records.get(key.text);
        this.recordCount += old === undefined ? 1 : 0;
        const growth = registerBytes(register) - (old === undefined ? 0 : registerBytes(old));
        bucket.memory += growth;
        this.memory += growth;
        bucket.records.set(key.text, register);
    }

    /** Drops the buckets whose keys have all expired and returns the number of records dropped. */
    expire(now: number): number {
        let count = 0;
        for (const [index, bucket] of this.buckets) {
            const end = (index + 1) * BUCKET_MS;
            if (end + RETENTION_MS <= now) {
                count += bucket.records.size;
                this.memory -= bucket.memory;
                this.buckets.delete(index);
                this.raiseDroppedThrough(end);
            }
        }
        this.recordCount -= count;
        return count;
    }

    raiseDroppedThrough(issueTime: number): void {
        this.dropped = Math.max(this.dropped, issueTime);
    }

    *entries(): IterableIterator<[string, Register]> {
        for (const { records } of this.buckets.values()) {
            yield* records;
        }
    }

    private bucketOf(key: RequestKey): number {
        return Math.floor(key.issuedAt / BUCKET_MS);
    }
}
