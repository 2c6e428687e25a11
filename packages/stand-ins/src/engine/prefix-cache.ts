/** Cache of prompt blocks with a limited size; the least recently used block is evicted first. */
export class PrefixCache {
    private readonly blocks = new Set<string>();

    constructor(private readonly capacity: number) {}

    /** Number of leading blocks that are cached; they become the most recently used. */
    match(hashes: readonly string[]): number {
        let count = 0;
        for (const hash of hashes) {
            if (!this.blocks.delete(hash)) {
                break;
            }
            this.blocks.add(hash);
            count++;
        }
        return count;
    }

    /** Adds blocks and returns those that are new and those that were evicted. */
    store(hashes: readonly string[]): { stored: string[]; evicted: string[]; } {
        const stored = hashes.filter(hash => !this.blocks.has(hash));
        for (const hash of hashes) {
            this.blocks.delete(hash);
            this.blocks.add(hash);
        }
        const evicted: string[] = [];
        while (this.blocks.size > this.capacity) {
            const [oldest] = this.blocks;
            this.blocks.delete(oldest as string);
            evicted.push(oldest as string);
        }
        return { stored, evicted };
    }

    has(hash: string): boolean {
        return this.blocks.has(hash);
    }

    list(): string[] {
        return [...this.blocks];
    }
}
