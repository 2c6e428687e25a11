import { z } from "zod";
import type { EndpointLifetime } from "./endpoint-directory.ts";

/** Requests that were lost when an endpoint crashed, as one ingress tells the others at once. */
export const crashNewsSchema = z.object({
    endpoint: z.string(),
    /** Start of the lifetime that ended, if it is known. */
    startedAt: z.number().optional(),
    /** Age of the crash when the message was sent, in milliseconds. */
    ageMs: z.number(),
    /** Keys of the requests whose answers had not begun. */
    requests: z.array(z.string()),
});
export type CrashNews = z.infer<typeof crashNewsSchema>;

/** Time after a crash for which news of it counts, in milliseconds; by then the leader's count includes it. */
const newsMs = 1_000;
const maxEntries = 1_024;
/** Number of requests that one message names. */
const maxRequestsPerMessage = 64;

interface NewsEntry {
    lifetime: EndpointLifetime;
    at: number;
    request: string;
    /** Number of the entry among those of this ingress; undefined for what another ingress has told. */
    own: number | undefined;
}

/**
 * Crashes of the last second, those that other ingresses have told included. They count until the leader, which knows
 * what explains a crash, has heard of them: a request that is repeated at once at several ingresses is known earlier.
 */
export class FreshCrashes {
    private entries: NewsEntry[] = [];
    private lastOwn = 0;
    private listener: () => void = () => undefined;

    /** Number of the last entry of this ingress. */
    get lastNumber(): number {
        return this.lastOwn;
    }

    /** Sets the function that is called when this ingress has something to tell. */
    onNews(listener: () => void): void {
        this.listener = listener;
    }

    /** Records that a request of this ingress was lost in a crash at `at`. */
    record({ id, startedAt }: EndpointLifetime, request: string, at: number): void {
        this.add({ lifetime: { id, startedAt }, at, request, own: ++this.lastOwn });
        this.listener();
    }

    /** Records what another ingress tells of a crash. */
    recordNews({ endpoint, startedAt, ageMs, requests }: CrashNews, now: number): void {
        for (const request of requests.slice(0, maxRequestsPerMessage)) {
            this.add({ lifetime: { id: endpoint, startedAt }, at: now - ageMs, request, own: undefined });
        }
    }

    /** Returns what this ingress has recorded after its entry with the number `told`. */
    newsAfter(told: number, now: number): CrashNews[] {
        this.dropOld(now);
        const news = new Map<string, CrashNews>();
        const untold = this.entries.filter(({ own }) => own !== undefined && own > told);
        for (const { lifetime: { id, startedAt }, at, request } of untold.slice(-maxRequestsPerMessage)) {
            const key = lifetimeKey({ id, startedAt });
            const crash = news.get(key) ?? { endpoint: id, startedAt, ageMs: now - at, requests: [] };
            crash.requests.push(request);
            news.set(key, crash);
        }
        return [...news.values()];
    }

    /** Returns the number of lifetimes that have ended under a request since the instant `begunAt`. */
    count(request: string, begunAt: number, now: number): number {
        const lifetimes = new Set<string>();
        for (const entry of this.entries) {
            if (entry.request === request && entry.at >= begunAt && now - entry.at < newsMs) {
                lifetimes.add(lifetimeKey(entry.lifetime));
            }
        }
        return lifetimes.size;
    }

    /** Whether a request is known to have been lost when a lifetime of an endpoint ended. */
    has(lifetime: EndpointLifetime, request: string, now: number): boolean {
        const key = lifetimeKey(lifetime);
        return this.entries.some(entry =>
            entry.request === request && lifetimeKey(entry.lifetime) === key && now - entry.at < newsMs
        );
    }

    /** Forgets all crashes, for instance because a verdict explains them. */
    clear(): void {
        this.entries = [];
    }

    private add(entry: NewsEntry): void {
        this.entries.push(entry);
        this.dropOld(entry.at);
    }

    private dropOld(now: number): void {
        if (this.entries.length > maxEntries || now - (this.entries[0]?.at ?? now) >= newsMs) {
            this.entries = this.entries.filter(({ at }) => now - at < newsMs).slice(-maxEntries);
        }
    }
}

function lifetimeKey({ id, startedAt }: EndpointLifetime): string {
    return `${id} ${startedAt ?? ""}`;
}
