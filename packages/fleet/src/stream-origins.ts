import { createHash } from "node:crypto";
import { z } from "zod";
import type { Endpoint } from "./endpoint-directory.ts";

/** Time after the deadline of the last attempt at a stream within which its caller may take it up, in milliseconds. */
export const takeUpGraceMs = 30_000;
/** Largest number of origins that are kept; those that expire first are forgotten first. */
const maxOrigins = 200_000;
/** Number of origins evicted together at the limit, so that their list is compacted once for that many calls. */
const evictionBatch = 10_000;
/** Length of the intervals by which origins are grouped to remove those that expire first, in milliseconds. */
const bucketMs = 1_000;
/** Number of expired origins that one call removes, of which each adds one at most. */
const removedPerRecord = 4;
/** Smallest time by which a later attempt prolongs an origin, in milliseconds; the grace covers less. */
const minExtensionMs = 1_000;
/** Length of a key in characters of six bits. */
const keyLength = 11;

/** The service and the software version of the endpoint that wrote the first event of a stream. */
export const streamOriginSchema = z.object({ service: z.string(), version: z.string() });
export type StreamOrigin = z.infer<typeof streamOriginSchema>;

/** Keys of streams by the service and the version that began them. */
export const originReportsSchema = z.record(z.string(), z.record(z.string(), z.array(z.string())));
export type OriginReports = z.infer<typeof originReportsSchema>;

/** Time for which each origin of a report has to be kept, in seconds, in the order of its keys. */
export const originLivesSchema = z.record(z.string(), z.record(z.string(), z.array(z.number().nonnegative())));
export type OriginLives = z.infer<typeof originLivesSchema>;

/** Origins for a message. Software versions that know no lives read the reports alone. */
export interface OriginMessage {
    reports: OriginReports;
    lives: OriginLives;
}

/** Returns the key by which the origin of an attempt's stream is known. */
export function originKey(workspace: string, attemptId: string): string {
    return createHash("sha1").update(`${workspace}\0${attemptId}`).digest("base64url").slice(0, keyLength);
}

/** Returns the version of an endpoint as origins name it. */
export function versionOf({ version }: Endpoint): string {
    return version ?? "";
}

export interface OriginEntry {
    readonly key: string;
    readonly origin: StreamOrigin;
    /** Instant from which no caller takes the stream up any more. */
    readonly expiresAt: number;
    /** Position among all records, of which a prolonged origin has a later one. */
    readonly number: number;
}

interface StoredEntry extends OriginEntry {
    /** Whether the entry is the last one of its key and has not been removed. */
    isCurrent: boolean;
}

/**
 * Origins of the streams that callers may still take up. An origin lives as long as an attempt at its stream may go on,
 * and a grace time for its caller. Each attempt prolongs it.
 */
export class StreamOrigins {
    private readonly byKey = new Map<string, StoredEntry>();
    /** In the order of their numbers. */
    private entries: StoredEntry[] = [];
    private nextEntryNumber = 0;
    /** Entries by the interval in which they expire. */
    private readonly buckets = new Map<number, StoredEntry[]>();
    /** No bucket before this one has an entry. */
    private firstBucket = Infinity;

    /** Number of the next record. */
    get nextNumber(): number {
        return this.nextEntryNumber;
    }

    /**
     * Records an origin, or prolongs it if one is known for the key; the first event decides the version. Returns whether
     * this changes what others have to know.
     */
    record(key: string, origin: StreamOrigin, expiresAt: number, now: number): boolean {
        this.removeExpired(now);
        const known = this.byKey.get(key);
        const isKnown = known !== undefined && known.expiresAt > now;
        if (expiresAt <= now || isKnown && expiresAt < known.expiresAt + minExtensionMs) {
            return false;
        }
        if (known !== undefined) {
            known.isCurrent = false;
        }
        const first = isKnown ? known.origin : origin;
        const entry = { key, origin: first, expiresAt, number: this.nextEntryNumber++, isCurrent: true };
        this.byKey.set(key, entry);
        this.addToBucket(entry);
        this.entries.push(entry);
        if (this.byKey.size > maxOrigins) {
            this.evict();
        }
        if (this.entries.length > 2 * this.byKey.size) {
            this.entries = this.entries.filter(({ isCurrent }) => isCurrent);
        }
        return true;
    }

    /** Records what another process has reported; `defaultLifeMs` serves for origins without a life. */
    merge(reports: OriginReports, lives: OriginLives, defaultLifeMs: (service: string) => number, now: number): void {
        for (const [service, versions] of Object.entries(reports)) {
            for (const [version, keys] of Object.entries(versions)) {
                const origin = { service, version };
                const seconds = lives[service]?.[version];
                keys.forEach((key, i) => {
                    const life = seconds?.[i];
                    const lifeMs = life === undefined ? defaultLifeMs(service) : life * 1_000;
                    this.record(key, origin, now + lifeMs, now);
                });
            }
        }
    }

    find(key: string, now: number): OriginEntry | undefined {
        const entry = this.byKey.get(key);
        return entry !== undefined && entry.expiresAt > now ? entry : undefined;
    }

    /** Returns the origins from the record `number` on, at most `maxCount`, and the number behind them. */
    reportsFrom(number: number, maxCount: number, now: number): OriginMessage & { next: number; } {
        const chosen: OriginEntry[] = [];
        let next = number;
        for (let i = this.indexOf(number); i < this.entries.length && chosen.length < maxCount; i++) {
            const entry = this.entries[i];
            if (entry !== undefined) {
                next = entry.number + 1;
                if (entry.isCurrent && entry.expiresAt > now) {
                    chosen.push(entry);
                }
            }
        }
        return { ...groupOrigins(chosen, now), next: chosen.length < maxCount ? this.nextNumber : next };
    }

    /** Returns the index of the first entry with `number` or a later one. */
    private indexOf(number: number): number {
        let low = 0;
        let high = this.entries.length;
        while (low < high) {
            const middle = low + high >> 1;
            if ((this.entries[middle]?.number ?? Infinity) < number) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }

    private addToBucket(entry: StoredEntry): void {
        const number = Math.floor(entry.expiresAt / bucketMs);
        const bucket = this.buckets.get(number);
        if (bucket === undefined) {
            this.buckets.set(number, [entry]);
            this.firstBucket = Math.min(this.firstBucket, number);
        }
        else {
            bucket.push(entry);
        }
    }

    /** Removes a few of the origins that have expired, so that no call takes long for many of them. */
    private removeExpired(now: number): void {
        const current = Math.floor(now / bucketMs);
        for (let i = 0; i < removedPerRecord && this.firstBucket < current; i++) {
            const entry = this.buckets.get(this.firstBucket)?.pop();
            if (entry !== undefined) {
                this.remove(entry);
            }
            this.skipEmptyBuckets();
        }
    }

    /** Removes the origins that expire first; of those in one bucket, the ones that were recorded first. */
    private evict(): void {
        for (let left = evictionBatch; left > 0; this.skipEmptyBuckets()) {
            const removed = this.buckets.get(this.firstBucket)?.splice(0, left) ?? [];
            left -= removed.filter(({ isCurrent }) => isCurrent).length;
            removed.forEach(entry => this.remove(entry));
        }
    }

    private remove(entry: StoredEntry): void {
        if (entry.isCurrent) {
            entry.isCurrent = false;
            this.byKey.delete(entry.key);
        }
    }

    private skipEmptyBuckets(): void {
        if (this.buckets.get(this.firstBucket)?.length === 0) {
            this.buckets.delete(this.firstBucket);
        }
        if (this.buckets.size === 0) {
            this.firstBucket = Infinity;
        }
        while (this.buckets.size > 0 && !this.buckets.has(this.firstBucket)) {
            this.firstBucket++;
        }
    }
}

/** Groups origins for a message. */
export function groupOrigins(entries: Iterable<OriginEntry>, now: number): OriginMessage {
    const groups = new Map<string, Map<string, OriginEntry[]>>();
    for (const entry of entries) {
        const { service, version } = entry.origin;
        const versions = groups.get(service) ?? new Map<string, OriginEntry[]>();
        groups.set(service, versions);
        const group = versions.get(version) ?? [];
        versions.set(version, group);
        group.push(entry);
    }
    const describe = <T>(value: (entry: OriginEntry) => T): Record<string, Record<string, T[]>> =>
        Object.fromEntries(
            [...groups].map(([service, versions]) => [
                service,
                Object.fromEntries([...versions].map(([version, group]) => [version, group.map(value)])),
            ]),
        );
    return {
        reports: describe(({ key }) => key),
        lives: describe(({ expiresAt }) => Math.ceil((expiresAt - now) / 1_000)),
    };
}
