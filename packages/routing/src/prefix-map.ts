/** Block hashes with the instant of their last confirmation, bounded by least recent use. */
export class PrefixMap {
    /** Insertion order is the order of last confirmation. */
    private readonly blocks = new Map<number, number>();

    constructor(private maxBlocks: number) {}

    get size(): number {
        return this.blocks.size;
    }

    /** Changes the bound and evicts what exceeds it. */
    resize(maxBlocks: number): void {
        this.maxBlocks = maxBlocks;
        this.evict();
    }

    add(hash: number, now: number): void {
        this.blocks.delete(hash);
        this.blocks.set(hash, now);
        this.evict();
    }

    remove(hash: number): void {
        this.blocks.delete(hash);
    }

    clear(): void {
        this.blocks.clear();
    }

    /** Number of leading blocks of `prefix` that were confirmed at `notBefore` or later. */
    matchedBlocks(prefix: readonly number[], notBefore = -Infinity): number {
        const miss = prefix.findIndex(hash =>
            (this.blocks.get(hash) ?? -Infinity) < notBefore || !this.blocks.has(hash)
        );
        return miss < 0 ? prefix.length : miss;
    }

    private evict(): void {
        for (const oldest of this.blocks.keys()) {
            if (this.blocks.size <= this.maxBlocks) {
                return;
            }
            this.blocks.delete(oldest);
        }
    }
}
