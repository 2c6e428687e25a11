import type { PromptPart } from "./types.ts";

interface Chain {
    tokens: number;
    usedAt: number;
}

/** Entries kept for one endpoint by default; the tokens that they stand for are bounded by the endpoint's cache besides. */
const maxChains = 4_000;

/** Keys of the chains that a prompt consists of: each covers one more part. */
export function prefixKeys(parts: readonly PromptPart[]): string[] {
    let key = "";
    return parts.map(part => key = `${key}/${part.id}`);
}

/**
 * Which prompt parts an endpoint has probably cached, learnt from the requests that were sent there. Least recently
 * used chains are forgotten once their tokens exceed the endpoint's cache.
 */
export class PrefixCacheIndex {
    private readonly endpoints = new Map<string, { chains: Map<string, Chain>; tokens: number; }>();

    constructor(private readonly capacity = maxChains) {}

    /** Notes that a prompt was read at an endpoint. */
    record(endpoint: string, parts: readonly PromptPart[], cacheTokens: number, now: number): void {
        const memory = this.endpoints.get(endpoint) ?? { chains: new Map<string, Chain>(), tokens: 0 };
        this.endpoints.set(endpoint, memory);
        for (const [i, key] of prefixKeys(parts).entries()) {
            const tokens = parts[i]?.tokens ?? 0;
            if (memory.chains.delete(key)) {
                memory.tokens -= tokens;
            }
            memory.chains.set(key, { tokens, usedAt: now });
            memory.tokens += tokens;
        }
        for (const [key, chain] of memory.chains) {
            if (memory.tokens <= cacheTokens && memory.chains.size <= this.capacity) {
                break;
            }
            memory.chains.delete(key);
            memory.tokens -= chain.tokens;
        }
    }

    /** Tokens at the start of the prompt that need not be read again. */
    cachedTokens(endpoint: string, parts: readonly PromptPart[]): number {
        const memory = this.endpoints.get(endpoint);
        if (memory === undefined) {
            return 0;
        }
        let cached = 0;
        for (const [i, key] of prefixKeys(parts).entries()) {
            if (!memory.chains.has(key)) {
                break;
            }
            cached += parts[i]?.tokens ?? 0;
        }
        return cached;
    }

    /** Forgets an endpoint whose lifetime has ended. */
    removeEndpoint(endpoint: string): void {
        this.endpoints.delete(endpoint);
    }
}
