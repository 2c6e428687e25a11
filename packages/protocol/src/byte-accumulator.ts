const initialCapacityBytes = 1_024;

/**
 * Collects bytes that arrive in chunks. Each byte is copied a bounded number of times on average, and memory depends on
 * the bytes alone: a list of the chunks would keep an object for each of them, however small they are.
 */
export class ByteAccumulator {
    private data: Buffer = Buffer.alloc(0);
    private size = 0;

    /** Number of collected bytes. */
    get length(): number {
        return this.size;
    }

    /** Bytes of memory that are reserved for what is collected. */
    get capacity(): number {
        return this.data.length;
    }

    append(chunk: Buffer): void {
        const needed = this.size + chunk.length;
        if (needed > this.data.length) {
            const grown = Buffer.allocUnsafe(Math.max(needed, this.data.length * 2, initialCapacityBytes));
            this.data.copy(grown, 0, 0, this.size);
            this.data = grown;
        }
        chunk.copy(this.data, this.size);
        this.size = needed;
    }

    /** Returns the last `count` bytes, or all if there are fewer; valid until the next call of another method. */
    tail(count: number): Buffer {
        return this.data.subarray(Math.max(0, this.size - count), this.size);
    }

    /** Returns the collected bytes and starts anew. */
    take(): Buffer {
        const taken = this.data.subarray(0, this.size);
        this.data = Buffer.alloc(0);
        this.size = 0;
        return taken;
    }
}
