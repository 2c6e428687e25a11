import { createHash } from "node:crypto";
import { z } from "zod";
import type { Endpoint } from "./endpoint-directory.ts";

/** Time after the beginning of a stream within which its caller may take it up again, in milliseconds. */
export const originLifetimeMs = 30_000;
/** Largest number of origins that are kept; the oldest are forgotten first. */
const maxOrigins = 200_000;
/** Number of origins evicted together at the limit, so that the rest of the list is moved once for that many calls. */
const evictionBatch = 10_000;
/** Length of a key in characters of six bits. */
const keyLength = 11;

/** The service and the software version of the endpoint that wrote the first event of a stream. */
export const streamOriginSchema = z.object({ service: z.string(), version: z.string() });
export type StreamOrigin = z.infer<typeof streamOriginSchema>;

/** Keys of streams by the service and the version that began them. */
export const originReportsSchema = z.record(z.string(), z.record(z.string(), z.array(z.string())));
export type OriginReports = z.infer<typeof originReportsSchema>;

/** Returns the key by which the origin of an attempt's stream is known. */
export function originKey(workspace: string, attemptId: string): string {
    return createHash("sha1").update(`${workspace}\0${attemptId}`).digest("base64url").slice(0, keyLength);
}

/** Returns the version of an endpoint as origins name it. */
export function versionOf({ version }: Endpoint): string {
    return version ?? "";
}

interface Entry {
    key: string;
    origin: StreamOrigin;
    recordedAt: number;
}

/** Origins of the streams that have begun lately, in the order in which they became known. */
export class StreamOrigins {
    private readonly byKey = new Map<string, Entry>();
    /** Entries from the number `firstNumber` on. */
    private entries: Entry[] = [];
    private firstNumber = 0;

    /** Number of the next entry. */
    get nextNumber(): number {
        return this.firstNumber + this.entries.length;
    }

    /** Records an origin, unless one is known for the key; the first event decides. Returns whether it is new. */
    record(key: string, origin: StreamOrigin, now: number): boolean {
        this.forgetOld(now);
        if (this.byKey.has(key)) {
            return false;
        }
        const entry = { key, origin, recordedAt: now };
        this.byKey.set(key, entry);
        this.entries.push(entry);
        return true;
    }

    /** Records what another process has reported. */
    merge(reports: OriginReports, now: number): void {
        for (const [service, versions] of Object.entries(reports)) {
            for (const [version, keys] of Object.entries(versions)) {
                const origin = { service, version };
                keys.forEach(key => this.record(key, origin, now));
            }
        }
    }

    find(key: string, now: number): StreamOrigin | undefined {
        this.forgetOld(now);
        return this.byKey.get(key)?.origin;
    }

    /** Returns the origins from the entry `number` on, at most `maxCount`, and the number behind them. */
    reportsFrom(number: number, maxCount: number, now: number): { reports: OriginReports; next: number; } {
        this.forgetOld(now);
        const from = Math.min(Math.max(number, this.firstNumber), this.nextNumber);
        const chosen = this.entries.slice(from - this.firstNumber, from - this.firstNumber + maxCount);
        return { reports: groupOrigins(chosen), next: from + chosen.length };
    }

    private forgetOld(now: number): void {
        const { entries } = this;
        const isOld = (index: number): boolean => now - (entries[index]?.recordedAt ?? now) > originLifetimeMs;
        const overLimit = entries.length > maxOrigins;
        // Entries are evicted in batches, as each eviction moves those behind it. They are in the order of their time,
        // so one look tells whether half of them are old.
        if (entries.length === 0 || !overLimit && !isOld(Math.ceil(entries.length / 2) - 1)) {
            return;
        }
        let count = overLimit ? evictionBatch : 0;
        while (count < entries.length && isOld(count)) {
            count++;
        }
        entries.slice(0, count).forEach(({ key }) => this.byKey.delete(key));
        this.entries = entries.slice(count);
        this.firstNumber += count;
    }
}

/** Groups origins for a message. */
export function groupOrigins(entries: Iterable<{ key: string; origin: StreamOrigin; }>): OriginReports {
    const reports = new Map<string, Map<string, string[]>>();
    for (const { key, origin: { service, version } } of entries) {
        const versions = reports.get(service) ?? new Map<string, string[]>();
        reports.set(service, versions);
        versions.set(version, [...versions.get(version) ?? [], key]);
    }
    return Object.fromEntries([...reports].map(([service, versions]) => [service, Object.fromEntries(versions)]));
}
