import { isDeepStrictEqual } from "node:util";
import { z } from "zod";

/** An ingress as it describes itself with each sync. */
export const ingressDescriptionSchema = z.object({
    name: z.string(),
    /** Where callers connect. */
    host: z.string(),
    port: z.int(),
    /** Where other processes of the fleet connect. */
    inner: z.object({ host: z.string(), port: z.int() }),
    region: z.string(),
    failureDomain: z.string(),
    /** False while it starts, has no catalog, or is about to stop. */
    accepting: z.boolean(),
});
export type IngressDescription = z.infer<typeof ingressDescriptionSchema>;

interface RosterEntry {
    description: IngressDescription;
    seenAt: number;
    /** Instant at which another ingress last said that this one does not answer it. */
    suspectedAt: number;
}

/** The ingresses that were heard of, and when. */
export class Roster {
    private readonly entries = new Map<string, RosterEntry>();
    private refreshedAt = -Infinity;

    constructor(
        /** Silence after which an ingress counts as lost, in milliseconds; it depends on how often they speak. */
        private readonly silenceMs: (memberCount: number) => number,
        /** The same for one that does not answer other ingresses either, in milliseconds. */
        private readonly suspectedSilenceMs: (members: number) => number,
        /** Silence after which an ingress is forgotten, in milliseconds. */
        private readonly forgetMs: number,
    ) {}

    recordContact(description: IngressDescription, now: number): void {
        const held = this.entries.get(description.name);
        if (held === undefined || !isDeepStrictEqual(held.description, description)) {
            this.entries.set(description.name, { description, seenAt: now, suspectedAt: -Infinity });
        }
        else {
            // The same object, so that an unchanged roster can be told without a look at all of it.
            held.seenAt = Math.max(held.seenAt, now);
        }
        this.refreshedAt = Math.max(this.refreshedAt, now);
    }

    /** Notes that an ingress does not answer another one. By itself that may be the path between the two. */
    suspect(name: string, now: number): void {
        const entry = this.entries.get(name);
        if (entry !== undefined) {
            entry.suspectedAt = now;
        }
    }

    /** Suspects all but those that the leader names as in contact. */
    suspectAllExcept(named: ReadonlySet<string>, now: number): void {
        for (const name of this.entries.keys()) {
            if (!named.has(name)) {
                this.suspect(name, now);
            }
        }
    }

    /** Counts all that are known as seen at `now`: while nobody led, they had nobody to speak to. */
    renewAll(now: number): void {
        for (const entry of this.entries.values()) {
            if (now - entry.seenAt <= this.forgetMs) {
                entry.seenAt = now;
            }
        }
    }

    /** Those in contact. */
    live(now: number): IngressDescription[] {
        return this.select(now);
    }

    /** Those in contact that take new work, as of the last time that anybody was heard of. */
    accepting(): IngressDescription[] {
        return this.select(this.refreshedAt).filter(description => description.accepting);
    }

    /** All that may still be at work, in contact or not. */
    countMembers(now: number): number {
        for (const [name, entry] of this.entries) {
            if (now - entry.seenAt > this.forgetMs) {
                this.entries.delete(name);
            }
        }
        return this.entries.size;
    }

    /** Members that have not been heard of for `silenceMs`. */
    countSilent(now: number, silenceMs: number): number {
        return [...this.entries.values()].filter(({ seenAt }) => now - seenAt > silenceMs).length;
    }

    private select(now: number): IngressDescription[] {
        const seenAfter = now - this.silenceMs(this.entries.size);
        const suspectSeenAfter = now - this.suspectedSilenceMs(this.entries.size);
        return [...this.entries.values()]
            .filter(({ seenAt, suspectedAt }) => seenAt > (suspectedAt > seenAt ? suspectSeenAfter : seenAfter))
            .map(entry => entry.description)
            .sort((a, b) => a.name < b.name ? -1 : 1);
    }
}
