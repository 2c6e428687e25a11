import murmurhash from "murmurhash";

/**
 * Hashes a prompt in blocks. Each hash covers the block and everything before it, so that equal hashes at
 * a position mean equal prefixes (up to 32-bit collisions, which only spoil an estimate). An incomplete last
 * block is left out because engines do not share it. `salt` names the model, version and adapter.
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
