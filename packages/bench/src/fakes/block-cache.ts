import type { CacheEventBatch, CacheSnapshot } from "@lentilramp/routing";

/** Prefix cache of the fake engine: blocks by chained hash, least recently used evicted first. */
export class BlockCache {
    private readonly blocks = new Set<number>();
    private readonly stored = new Set<number>();
    private readonly removed = new Set<number>();
    private sequence = 0;

    constructor(private readonly maxBlocks: number) {}

    /** Number of leading blocks held; those are marked as used. */
    use(prefix: readonly number[]): number {
        const miss = prefix.findIndex(hash => !this.blocks.has(hash));
        const held = miss < 0 ? prefix.length : miss;
        this.insert(prefix.slice(0, held));
        return held;
    }

    /** Holds all blocks of the prefix. The end of a prefix is evicted before its start. */
    insert(prefix: readonly number[]): void {
        for (let i = prefix.length - 1; i >= 0; i--) {
            const hash = prefix[i] as number;
            if (!this.blocks.delete(hash)) {
                this.stored.add(hash);
                this.removed.delete(hash);
            }
            this.blocks.add(hash);
        }
        for (const hash of this.blocks) {
            if (this.blocks.size <= this.maxBlocks) {
                break;
            }
            this.blocks.delete(hash);
            if (!this.stored.delete(hash)) {
                this.removed.add(hash);
            }
        }
    }

    /** Returns the changes since the last batch. */
    takeBatch(): CacheEventBatch {
        const batch = {
            generation: 1,
            sequence: ++this.sequence,
            stored: [...this.stored],
            removed: [...this.removed],
        };
        this.stored.clear();
        this.removed.clear();
        return batch;
    }

    /** Content after the last batch, without the changes that the next batch will carry. */
    snapshot(): CacheSnapshot {
        const blocks = [...this.blocks].filter(hash => !this.stored.has(hash));
        return { generation: 1, sequence: this.sequence, blocks: [...blocks, ...this.removed] };
    }
}
