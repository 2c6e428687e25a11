import murmurhash from "murmurhash";

/**
 * Returns the chained hashes of the prompt's blocks. Each hash covers its block and all blocks before it, so that equal
 * hashes at a position mean equal prefixes. A collision of the 32-bit hashes only makes a cache estimate less accurate.
 * An incomplete last block is omitted because engines do not share it between requests. `salt` identifies the model,
 * version and adapter.
 */
export function hashBlocks(prompt: Uint8Array, blockBytes: number, salt: string): number[] {
    let previous = murmurhash.v3(new TextEncoder().encode(salt), 0);
    const hashes: number[] = [];
    for (let start = 0; start + blockBytes <= prompt.length; start += blockBytes) {
        previous = murmurhash.v3(prompt.subarray(start, start + blockBytes), previous);
        hashes.push(previous);
    }
    return hashes;
}
