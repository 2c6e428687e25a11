/** Bounded map from block hashes to the instant of their last confirmation; evicts the least recently confirmed. */
export class PrefixMap {
    /** In the order of last confirmation, because `add` inserts a confirmed hash at the end. */
    private readonly confirmedAtByHash = new Map<number, number>();

    constructor(private maxBlocks: number) {}

    get size(): number {
        return this.confirmedAtByHash.size;
    }

    /** Changes the maximum size and evicts the blocks that exceed it. */
    resize(maxBlocks: number): void {
        this.maxBlocks = maxBlocks;
        this.evict();
    }

    add(hash: number, now: number): void {
        this.confirmedAtByHash.delete(hash);
        this.confirmedAtByHash.set(hash, now);
        this.evict();
    }

    remove(hash: number): void {
        this.confirmedAtByHash.delete(hash);
    }

    clear(): void {
        this.confirmedAtByHash.clear();
    }

    /** Returns the number of leading blocks of `prefix` that were confirmed at `notBefore` or later. */
    matchedBlocks(prefix: readonly number[], notBefore = -Infinity): number {
        const firstMissIndex = prefix.findIndex(hash =>
            (this.confirmedAtByHash.get(hash) ?? -Infinity) < notBefore || !this.confirmedAtByHash.has(hash)
        );
        return firstMissIndex < 0 ? prefix.length : firstMissIndex;
    }

    private evict(): void {
        for (const oldest of this.confirmedAtByHash.keys()) {
            if (this.confirmedAtByHash.size <= this.maxBlocks) {
                return;
            }
            this.confirmedAtByHash.delete(oldest);
        }
    }
}
