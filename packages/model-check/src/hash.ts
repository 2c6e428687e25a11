/** 64 bits as two unsigned 32-bit numbers. */
export interface Hash {
    readonly high: number;
    readonly low: number;
}

/** Hashes a string with two independent multiplicative mixes. */
export function hashText(text: string): Hash {
    let high = 0xdeadbeef;
    let low = 0x41c6ce57;
    for (let i = 0; i < text.length; i++) {
        const code = text.charCodeAt(i);
        high = Math.imul(high ^ code, 2_654_435_761);
        low = Math.imul(low ^ code, 1_597_334_677);
    }
    high = Math.imul(high ^ (high >>> 16), 2_246_822_507) ^ Math.imul(low ^ (low >>> 13), 3_266_489_909);
    low = Math.imul(low ^ (low >>> 16), 2_246_822_507) ^ Math.imul(high ^ (high >>> 13), 3_266_489_909);
    return { high: high >>> 0, low: low >>> 0 };
}

/** Combines hashes so that their order does not matter; used for sets. */
export function addHashes(a: Hash, b: Hash): Hash {
    return { high: (a.high + b.high) >>> 0, low: (a.low + b.low) >>> 0 };
}

/** Combines hashes so that their order matters. */
export function joinHashes(parts: readonly Hash[]): Hash {
    let high = 0x9e3779b9;
    let low = 0x85ebca6b;
    for (const part of parts) {
        high = Math.imul(high ^ part.high, 2_654_435_761) ^ (low >>> 15);
        low = Math.imul(low ^ part.low, 1_597_334_677) ^ (high >>> 13);
    }
    return { high: high >>> 0, low: low >>> 0 };
}

/** Set of hashes with open addressing; a JavaScript set of strings would need several times the memory. */
export class HashSet {
    private slots = new Uint32Array(2 << 16);
    private count = 0;

    get size(): number {
        return this.count;
    }

    /** Returns false when the hash was already in the set. */
    add({ high, low }: Hash): boolean {
        if (this.count * 4 > this.slots.length) {
            const old = this.slots;
            this.slots = new Uint32Array(old.length * 2);
            this.count = 0;
            for (let i = 0; i < old.length; i += 2) {
                if (old[i] !== 0 || old[i + 1] !== 0) {
                    this.add({ high: old[i] as number, low: old[i + 1] as number });
                }
            }
        }
        const mask = this.slots.length / 2 - 1;
        for (let slot = low & mask;; slot = (slot + 1) & mask) {
            const storedHigh = this.slots[2 * slot];
            const storedLow = this.slots[2 * slot + 1];
            if (storedHigh === high && storedLow === low) {
                return false;
            }
            if (storedHigh === 0 && storedLow === 0) {
                this.slots[2 * slot] = high;
                this.slots[2 * slot + 1] = low;
                this.count += 1;
                return true;
            }
        }
    }
}
