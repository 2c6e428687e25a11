import { PrefixMap } from "./prefix-map.ts";

/** Batch of cache changes published by an engine. An empty batch confirms that nothing changed. */
export interface CacheEventBatch {
    /** Changes when the engine restarts with an empty cache. */
    generation: number;
    /** Grows by one with each batch of a generation. */
    sequence: number;
    stored: readonly number[];
    removed: readonly number[];
}

/** Complete content of an engine's cache after the batch `sequence`. */
export interface CacheSnapshot {
    generation: number;
    sequence: number;
    blocks: readonly number[];
}

export interface CacheMapOptions {
    /** Bound on the blocks kept for one endpoint, for events and own dispatches together. */
    maxBlocks: number;
    /** A map without a batch in sequence for this long is not trusted. */
    maxEventAgeMs: number;
    /** A prompt that this entry sent itself is presumed cached for this long. */
    maxDispatchAgeMs: number;
    /** Batches kept while a snapshot is awaited. */
    maxPendingBatches: number;
}

export const cacheMapDefaults: CacheMapOptions = {
    maxBlocks: 4096,
    maxEventAgeMs: 15_000,
    maxDispatchAgeMs: 30_000,
    maxPendingBatches: 64,
};

/**
 * What this entry knows about the prefixes cached at one endpoint: from cache events, and from prompts that
 * the entry sent itself. After a gap in the event sequence removals may have been missed, so the event part is
 * stale and unused until a snapshot arrives.
 */
export class CacheMap {
    private readonly fromEvents: PrefixMap;
    private readonly fromDispatches: PrefixMap;
    private pending: CacheEventBatch[] = [];
    private generation: number | undefined;
    private sequence = 0;
    private confirmedAt = -Infinity;
    private synchronised = false;

    constructor(private readonly options: CacheMapOptions = cacheMapDefaults) {
        this.fromEvents = new PrefixMap(Math.floor(options.maxBlocks * 0.75));
        this.fromDispatches = new PrefixMap(Math.floor(options.maxBlocks * 0.25));
    }

    /** True until the first snapshot, and from a gap to the next snapshot. */
    get stale(): boolean {
        return !this.synchronised;
    }

    get size(): number {
        return this.fromEvents.size + this.fromDispatches.size;
    }

    /** Changes the bound when the number of endpoints changes. */
    resize(maxBlocks: number): void {
        this.fromEvents.resize(Math.floor(maxBlocks * 0.75));
        this.fromDispatches.resize(Math.floor(maxBlocks * 0.25));
    }

    acceptBatch(batch: CacheEventBatch, now: number): void {
        if (this.generation !== undefined && batch.generation > this.generation) {
            this.fromDispatches.clear();
            this.markStale();
            this.generation = batch.generation;
        }
        else if (this.generation === undefined) {
            this.generation = batch.generation;
        }
        if (batch.generation < this.generation) {
            return;
        }
        if (this.stale) {
            this.keepPending(batch);
        }
        else if (batch.sequence === this.sequence + 1) {
            this.apply(batch, now);
        }
        else if (batch.sequence > this.sequence + 1) {
            this.markStale();
            this.keepPending(batch);
        }
    }

    /** Replaces the event part, then applies the batches that arrived meanwhile and continue the snapshot. */
    acceptSnapshot(snapshot: CacheSnapshot, now: number): void {
        const older = this.generation !== undefined && snapshot.generation < this.generation;
        if (older || (!this.stale && snapshot.sequence < this.sequence)) {
            return;
        }
        this.generation = snapshot.generation;
        this.sequence = snapshot.sequence;
        this.synchronised = true;
        this.confirmedAt = now;
        this.fromEvents.clear();
        for (const hash of snapshot.blocks) {
            this.fromEvents.add(hash, now);
        }
        const pending = this.pending.sort((a, b) => a.sequence - b.sequence);
        this.pending = [];
        for (const batch of pending) {
            this.acceptBatch(batch, now);
        }
    }

    /** Records that this entry sent a prompt with these blocks to the endpoint. */
    recordDispatch(prefix: readonly number[], now: number): void {
        // The first block is added last, so that eviction takes the end of a prefix before its start.
        for (let i = prefix.length - 1; i >= 0; i--) {
            this.fromDispatches.add(prefix[i] as number, now);
        }
    }

    /** Number of leading blocks of `prefix` that are presumed cached at the endpoint. */
    matchedBlocks(prefix: readonly number[], now: number): number {
        const events = this.trusted(now) ? this.fromEvents.matchedBlocks(prefix) : 0;
        return Math.max(events, this.fromDispatches.matchedBlocks(prefix, now - this.options.maxDispatchAgeMs));
    }

    private trusted(now: number): boolean {
        return !this.stale && now - this.confirmedAt <= this.options.maxEventAgeMs;
    }

    private markStale(): void {
        this.synchronised = false;
        this.fromEvents.clear();
        this.pending = [];
    }

    private keepPending(batch: CacheEventBatch): void {
        this.pending.push(batch);
        if (this.pending.length > this.options.maxPendingBatches) {
            this.pending.shift();
        }
    }

    private apply(batch: CacheEventBatch, now: number): void {
        this.sequence = batch.sequence;
        this.confirmedAt = now;
        for (const hash of batch.stored) {
            this.fromEvents.add(hash, now);
        }
        for (const hash of batch.removed) {
            this.fromEvents.remove(hash);
            this.fromDispatches.remove(hash);
        }
    }
}
