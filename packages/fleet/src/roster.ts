import { isDeepStrictEqual } from "node:util";
import { z } from "zod";
import { maxCapacity } from "./ingress-capacity.ts";
import { portSchema } from "./port.ts";

/** Description of an ingress that it sends with each sync. */
export const ingressDescriptionSchema = z.object({
    name: z.string(),
    /** Address for callers. */
    host: z.string(),
    port: portSchema,
    /** Address for other processes of the fleet. */
    inner: z.object({ host: z.string(), port: portSchema }),
    region: z.string(),
    failureDomain: z.string(),
    /** False while the ingress is starting, has no catalog or is about to stop. */
    accepting: z.boolean(),
    /** False while the ingress can reach no endpoint; absent otherwise, and from earlier software versions. */
    reachesEndpoints: z.boolean().optional(),
    /**
     * Capacity relative to the reference machine; absent where the settings do not state it, and from earlier software
     * versions. An invalid one counts as absent, so that the ingress stays in the roster.
     */
    capacity: z.number().positive().max(maxCapacity).optional().catch(undefined),
    /** True while the event loop is busy, which halves the capacity; absent otherwise. */
    busy: z.boolean().optional().catch(undefined),
});
export type IngressDescription = z.infer<typeof ingressDescriptionSchema>;

interface RosterEntry {
    description: IngressDescription;
    lastContactAt: number;
    /** Instant at which another ingress last reported that this one does not answer. */
    suspectedAt: number;
}

/** The known ingresses with the time of their last contact. */
export class Roster {
    private readonly entries = new Map<string, RosterEntry>();
    /**
     * Entries in the order of their names; undefined once an ingress has come or gone. The leader lists the ingresses in
     * contact ten times a second, and a large fleet has 1,600 of them.
     */
    private sorted: readonly RosterEntry[] | undefined;
    private latestContactAt = -Infinity;

    constructor(
        /** Time without contact after which an ingress is lost, in milliseconds; it grows with the sync interval. */
        private readonly timeoutMs: (memberCount: number) => number,
        /** The same time for an ingress that does not answer other ingresses either, in milliseconds. */
        private readonly suspectedTimeoutMs: (memberCount: number) => number,
        /** Time without contact after which an ingress is removed, in milliseconds. */
        private readonly forgetMs: number,
    ) {}

    recordContact(description: IngressDescription, now: number): void {
        const known = this.entries.get(description.name);
        if (known === undefined) {
            this.entries.set(description.name, { description, lastContactAt: now, suspectedAt: -Infinity });
            this.sorted = undefined;
        }
        else if (!isDeepStrictEqual(known.description, description)) {
            known.description = description;
            known.lastContactAt = now;
            known.suspectedAt = -Infinity;
        }
        else {
            // The object is kept, so that an unchanged roster is detected by comparing references.
            known.lastContactAt = Math.max(known.lastContactAt, now);
        }
        this.latestContactAt = Math.max(this.latestContactAt, now);
    }

    /** Records that an ingress does not answer another one. This alone can also be a fault of the path between them. */
    suspect(name: string, now: number): void {
        const entry = this.entries.get(name);
        if (entry !== undefined) {
            entry.suspectedAt = now;
        }
    }

    /** Suspects all ingresses except those that the leader reports as in contact. */
    suspectAllExcept(contactNames: ReadonlySet<string>, now: number): void {
        for (const name of this.entries.keys()) {
            if (!contactNames.has(name)) {
                this.suspect(name, now);
            }
        }
    }

    /** Sets the last contact of all known ingresses to `now`, since without a leader they could not sync. */
    renewAll(now: number): void {
        for (const entry of this.entries.values()) {
            if (now - entry.lastContactAt <= this.forgetMs) {
                entry.lastContactAt = now;
            }
        }
    }

    /** Returns the ingresses in contact, sorted by name. */
    live(now: number): IngressDescription[] {
        return this.selectInContact(now);
    }

    /** Returns the ingresses that accept new work, among those in contact at the time of the latest contact. */
    accepting(): IngressDescription[] {
        return this.selectInContact(this.latestContactAt).filter(description => description.accepting);
    }

    /** Returns the number of ingresses that may still be running, in contact or not. */
    countMembers(now: number): number {
        for (const [name, entry] of this.entries) {
            if (now - entry.lastContactAt > this.forgetMs) {
                this.entries.delete(name);
                this.sorted = undefined;
            }
        }
        return this.entries.size;
    }

    /** Returns the number of ingresses without contact for more than `silenceMs`. */
    countSilent(now: number, silenceMs: number): number {
        return [...this.entries.values()].filter(({ lastContactAt }) => now - lastContactAt > silenceMs).length;
    }

    private selectInContact(now: number): IngressDescription[] {
        const contactAfter = now - this.timeoutMs(this.entries.size);
        const suspectContactAfter = now - this.suspectedTimeoutMs(this.entries.size);
        this.sorted ??= [...this.entries.values()]
            .sort((a, b) => a.description.name < b.description.name ? -1 : 1);
        return this.sorted
            .filter(({ lastContactAt, suspectedAt }) =>
                lastContactAt > (suspectedAt > lastContactAt ? suspectContactAfter : contactAfter)
            )
            .map(entry => entry.description);
    }
}
