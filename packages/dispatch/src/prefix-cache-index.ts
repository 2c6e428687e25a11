import type { PromptPart } from "./types.ts";

interface CachedPrefix {
    tokens: number;
    usedAt: number;
}

/** Prefixes kept for one endpoint by default; their tokens are also bounded by the endpoint's cache size. */
const defaultMaxPrefixes = 4_000;

/** Keys of the prompt that was asked for last; one decision asks for the same prompt once per candidate endpoint. */
let lastKeys: { parts: readonly PromptPart[]; keys: readonly string[]; } | undefined;

/** Returns the keys of a prompt's prefixes, the shortest first; each covers one more part. `parts` must not change later. */
export function prefixKeys(parts: readonly PromptPart[]): readonly string[] {
    if (lastKeys?.parts !== parts) {
        let key = "";
        lastKeys = { parts, keys: parts.map(part => key = `${key}/${part.id}`) };
    }
    return lastKeys.keys;
}

/**
 * Estimates which prompt prefixes each endpoint has cached, from the requests that were sent to it. The least recently
 * used prefixes are evicted once the tokens exceed the endpoint's cache size.
 */
export class PrefixCacheIndex {
    private readonly caches = new Map<string, { prefixes: Map<string, CachedPrefix>; tokens: number; }>();
    /** Endpoints by the key of a prefix that they have cached; the one that read it longest ago is the first of a set. */
    private readonly holders = new Map<string, string | Set<string>>();

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
            this.addHolder(key, endpoint);
        }
        for (const [key, prefix] of cache.prefixes) {
            if (cache.tokens <= cacheTokens && cache.prefixes.size <= this.maxPrefixes) {
                break;
            }
            cache.prefixes.delete(key);
            cache.tokens -= prefix.tokens;
            this.removeHolder(key, endpoint);
        }
    }

    /**
     * Returns the endpoints that have cached the start of a prompt, of any service: those with its longest prefix first,
     * and of these the ones that read it longest ago. They are looked up as they are asked for.
     */
    *findHolders(parts: readonly PromptPart[]): Generator<string, void> {
        const found = new Set<string>();
        for (const key of [...prefixKeys(parts)].reverse()) {
            const holders = this.holders.get(key);
            for (const id of typeof holders === "string" ? [holders] : holders ?? []) {
                if (!found.has(id)) {
                    found.add(id);
                    yield id;
                }
            }
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
        for (const key of this.caches.get(endpoint)?.prefixes.keys() ?? []) {
            this.removeHolder(key, endpoint);
        }
        this.caches.delete(endpoint);
    }

    private addHolder(key: string, endpoint: string): void {
        const known = this.holders.get(key);
        if (known === undefined) {
            this.holders.set(key, endpoint);
        }
        else if (typeof known !== "string") {
            // Moves the endpoint behind the others, so that those which have had no such prompt for longest come first.
            known.delete(endpoint);
            known.add(endpoint);
        }
        else if (known !== endpoint) {
            this.holders.set(key, new Set([known, endpoint]));
        }
    }

    private removeHolder(key: string, endpoint: string): void {
        const known = this.holders.get(key);
        if (known === endpoint) {
            this.holders.delete(key);
        }
        else if (known instanceof Set && known.delete(endpoint) && known.size === 0) {
            this.holders.delete(key);
        }
    }
}
