import type { PromptPart } from "./types.ts";

interface CachedPrefix {
    tokens: number;
    usedAt: number;
}

/** Prefixes kept for one endpoint by default; their tokens are also bounded by the endpoint's cache size. */
const defaultMaxPrefixes = 4_000;

/** Returns the keys of a prompt's prefixes, the shortest first; each covers one more part. */
export function prefixKeys(parts: readonly PromptPart[]): string[] {
    let key = "";
    return parts.map(part => key = `${key}/${part.id}`);
}

/**
 * Estimates which prompt prefixes each endpoint has cached, from the requests that were sent to it. The least recently
 * used prefixes are evicted once the tokens exceed the endpoint's cache size.
 */
export class PrefixCacheIndex {
    private readonly caches = new Map<string, { prefixes: Map<string, CachedPrefix>; tokens: number; }>();

    constructor(private readonly maxPrefixes = defaultMaxPrefixes) {}

    /** Records that an endpoint has read a prompt. */
    record(endpoint: string, parts: readonly PromptPart[], cacheTokens: number, now: number): void {
        const cache = this.caches.get(endpoint) ?? { prefixes: new Map<string, CachedPrefix>(), tokens: 0 };
        this.caches.set(endpoint, cache);
        for (const [i, key] of prefixKeys(parts).entries()) {
            const tokens = parts[i]?.tokens ?? 0;
            if (cache.prefixes.delete(key)) {
                cache.tokens -= tokens;
            }
            cache.prefixes.set(key, { tokens, usedAt: now });
            cache.tokens += tokens;
        }
        for (const [key, prefix] of cache.prefixes) {
            if (cache.tokens <= cacheTokens && cache.prefixes.size <= this.maxPrefixes) {
                break;
            }
            cache.prefixes.delete(key);
            cache.tokens -= prefix.tokens;
        }
    }

    /** Returns the number of tokens at the start of the prompt that the endpoint has probably cached. */
    cachedTokens(endpoint: string, parts: readonly PromptPart[]): number {
        const cache = this.caches.get(endpoint);
        if (cache === undefined) {
            return 0;
        }
        let cachedTokens = 0;
        for (const [i, key] of prefixKeys(parts).entries()) {
            if (!cache.prefixes.has(key)) {
                break;
            }
            cachedTokens += parts[i]?.tokens ?? 0;
        }
        return cachedTokens;
    }

    /** Removes an endpoint that no longer exists. */
    removeEndpoint(endpoint: string): void {
        this.caches.delete(endpoint);
    }
}
