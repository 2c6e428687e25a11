import { RETENTION_MS } from "./constants.ts";
import type { Register } from "./messages.ts";
import type { RequestKey } from "./request-key.ts";

/** Width of a bucket of issue times. Buckets are dropped as a whole, so a record stays at most this much longer. */
const BUCKET_MS = 10 * 60 * 1_000;
/**
 * Memory that is counted for a record and its outcome without the body: up to 300 bytes for a claim and up to 369 bytes
 * more for an outcome (see the experiment `claim-cost`); the rest covers the growth of the maps.
 */
export const RECORD_MEMORY_BYTES = 768;

const emptyRegister: Register = { kind: "empty" };

function bodyBytes(register: Register): number {
    return register.kind === "claimed" && register.outcome?.kind === "completed"
        ? register.outcome.body?.length ?? 0
        : 0;
}

/** Returns the counted memory of a stored register in bytes. */
export function registerBytes(register: Register): number {
    return RECORD_MEMORY_BYTES + bodyBytes(register);
}

interface Bucket {
    records: Map<string, Register>;
    /** Counted memory of the registers in the bucket, so that dropping the bucket needs no pass over them. */
    countedBytes: number;
}

/** Registers by key, in buckets by issue time so that expiry needs no search. */
export class ClaimTable {
    private readonly buckets = new Map<number, Bucket>();
    private recordCount = 0;
    private countedBytes = 0;
    private droppedThroughTime = 0;

    get records(): number {
        return this.recordCount;
    }

    /** Counted memory of all registers in bytes. */
    get memoryBytes(): number {
        return this.countedBytes;
    }

    /** Issue time before which the records of all keys have been dropped. */
    get droppedThrough(): number {
        return this.droppedThroughTime;
    }

    get(key: RequestKey): Register {
        return this.buckets.get(this.bucketIndex(key))?.records.get(key.text) ?? emptyRegister;
    }

    put(key: RequestKey, register: Register): void {
        const bucket = this.buckets.get(this.bucketIndex(key))
            ?? { records: new Map<string, Register>(), countedBytes: 0 };
        this.buckets.set(this.bucketIndex(key), bucket);
        const previous = bucket.records.get(key.text);
        this.recordCount += previous === undefined ? 1 : 0;
        const growthBytes = registerBytes(register) - (previous === undefined ? 0 : registerBytes(previous));
        bucket.countedBytes += growthBytes;
        this.countedBytes += growthBytes;
        bucket.records.set(key.text, register);
    }

    /** Drops the buckets in which all keys have expired and returns the number of dropped records. */
    expire(now: number): number {
        let droppedCount = 0;
        for (const [index, bucket] of this.buckets) {
            const bucketEnd = (index + 1) * BUCKET_MS;
            if (bucketEnd + RETENTION_MS <= now) {
                droppedCount += bucket.records.size;
                this.countedBytes -= bucket.countedBytes;
                this.buckets.delete(index);
                this.raiseDroppedThrough(bucketEnd);
            }
        }
        this.recordCount -= droppedCount;
        return droppedCount;
    }

    raiseDroppedThrough(issueTime: number): void {
        this.droppedThroughTime = Math.max(this.droppedThroughTime, issueTime);
    }

    *entries(): IterableIterator<[string, Register]> {
        for (const { records } of this.buckets.values()) {
            yield* records;
        }
    }

    private bucketIndex(key: RequestKey): number {
        return Math.floor(key.issuedAt / BUCKET_MS);
    }
}
