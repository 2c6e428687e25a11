import { PrefixMap } from "./prefix-map.ts";

/** Batch of cache changes that an engine published. An empty batch confirms that the cache is unchanged. */
export interface CacheEventBatch {
    /** Increases when the engine restarts with an empty cache. */
    generation: number;
    /** Increases by one with each batch of a generation. */
    sequence: number;
    stored: readonly number[];
    removed: readonly number[];
}

/** Complete contents of an engine's cache after the batch with the number `sequence`. */
export interface CacheSnapshot {
    generation: number;
    sequence: number;
    blocks: readonly number[];
}

export interface CacheMapOptions {
    /** Maximum number of blocks kept for one endpoint, from events and dispatches together. */
    maxBlocks: number;
    /** Time without a consecutive batch after which blocks from events are no longer used. */
    maxEventAgeMs: number;
    /** Time for which a prompt that this entry dispatched is presumed cached. */
    maxDispatchAgeMs: number;
    /** Maximum number of batches buffered until a snapshot arrives. */
    maxPendingBatches: number;
}

export const cacheMapDefaults: CacheMapOptions = {
    maxBlocks: 4096,
    maxEventAgeMs: 15_000,
    maxDispatchAgeMs: 30_000,
    maxPendingBatches: 64,
};

/** Shares of `maxBlocks` for blocks from events and for blocks of dispatched prompts. */
const eventBlocksShare = 0.75;
const dispatchedBlocksShare = 0.25;

/**
 * Estimates the prefixes that one endpoint has cached, from the endpoint's cache events and from the prompts that this
 * entry dispatched. A gap in the event sequence may hide removals, so the blocks from events are discarded then and
 * events are only buffered until a snapshot arrives.
 */
export class CacheMap {
    private readonly eventBlocks: PrefixMap;
    private readonly dispatchedBlocks: PrefixMap;
    private pendingBatches: CacheEventBatch[] = [];
    private generation: number | undefined;
    private sequence = 0;
    private confirmedAt = -Infinity;
    private synchronised = false;

    constructor(private readonly options: CacheMapOptions = cacheMapDefaults) {
        this.eventBlocks = new PrefixMap(Math.floor(options.maxBlocks * eventBlocksShare));
        this.dispatchedBlocks = new PrefixMap(Math.floor(options.maxBlocks * dispatchedBlocksShare));
    }

    /** Whether a snapshot is needed, which is so at first and after a sequence gap or an engine restart. */
    get stale(): boolean {
        return !this.synchronised;
    }

    get size(): number {
        return this.eventBlocks.size + this.dispatchedBlocks.size;
    }

    /** Changes the maximum number of blocks. */
    resize(maxBlocks: number): void {
        this.eventBlocks.resize(Math.floor(maxBlocks * eventBlocksShare));
        this.dispatchedBlocks.resize(Math.floor(maxBlocks * dispatchedBlocksShare));
    }

    acceptBatch(batch: CacheEventBatch, now: number): void {
        if (this.generation !== undefined && batch.generation > this.generation) {
            this.dispatchedBlocks.clear();
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
            this.bufferBatch(batch);
        }
        else if (batch.sequence === this.sequence + 1) {
            this.apply(batch, now);
        }
        else if (batch.sequence > this.sequence + 1) {
            this.markStale();
            this.bufferBatch(batch);
        }
    }

    /** Replaces the blocks from events, then applies the buffered batches that continue the snapshot. */
    acceptSnapshot(snapshot: CacheSnapshot, now: number): void {
        const fromOlderGeneration = this.generation !== undefined && snapshot.generation < this.generation;
        if (fromOlderGeneration || (!this.stale && snapshot.sequence < this.sequence)) {
            return;
        }
        this.generation = snapshot.generation;
        this.sequence = snapshot.sequence;
        this.synchronised = true;
        this.confirmedAt = now;
        this.eventBlocks.clear();
        for (const hash of snapshot.blocks) {
            this.eventBlocks.add(hash, now);
        }
        const pendingBatches = this.pendingBatches.sort((a, b) => a.sequence - b.sequence);
        this.pendingBatches = [];
        for (const batch of pendingBatches) {
            this.acceptBatch(batch, now);
        }
    }

    /** Records that this entry dispatched a prompt with these blocks to the endpoint. */
    recordDispatch(prefix: readonly number[], now: number): void {
        // Adds the first block last, so that the end of a prefix is evicted before its start.
        for (let i = prefix.length - 1; i >= 0; i--) {
            this.dispatchedBlocks.add(prefix[i] as number, now);
        }
    }

    /** Returns the number of leading blocks of `prefix` that the endpoint is estimated to have cached. */
    matchedBlocks(prefix: readonly number[], now: number): number {
        const eventMatch = this.eventsUsable(now) ? this.eventBlocks.matchedBlocks(prefix) : 0;
        return Math.max(eventMatch, this.dispatchedBlocks.matchedBlocks(prefix, now - this.options.maxDispatchAgeMs));
    }

    private eventsUsable(now: number): boolean {
        return !this.stale && now - this.confirmedAt <= this.options.maxEventAgeMs;
    }

    private markStale(): void {
        this.synchronised = false;
        this.eventBlocks.clear();
        this.pendingBatches = [];
    }

    private bufferBatch(batch: CacheEventBatch): void {
        this.pendingBatches.push(batch);
        if (this.pendingBatches.length > this.options.maxPendingBatches) {
            this.pendingBatches.shift();
        }
    }

    private apply(batch: CacheEventBatch, now: number): void {
        this.sequence = batch.sequence;
        this.confirmedAt = now;
        for (const hash of batch.stored) {
            this.eventBlocks.add(hash, now);
        }
        for (const hash of batch.removed) {
            this.eventBlocks.remove(hash);
            this.dispatchedBlocks.remove(hash);
        }
    }
}
