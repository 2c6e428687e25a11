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
}

/** The ingresses that were heard of, and when. */
export class Roster {
    private readonly entries = new Map<string, RosterEntry>();

    constructor(
        /** Silence after which an ingress counts as lost, in milliseconds. */
        private readonly silenceMs: number,
        /** Silence after which an ingress is forgotten, in milliseconds. */
        private readonly forgetMs: number,
    ) {}

    seen(description: IngressDescription, now: number): void {
        const held = this.entries.get(description.name);
        if (held === undefined || held.seenAt <= now) {
            this.entries.set(description.name, { description, seenAt: now });
        }
    }

    /** Those in contact. */
    live(now: number): IngressDescription[] {
        return this.select(entry => now - entry.seenAt < this.silenceMs);
    }

    /** Those in contact that take new work. */
    accepting(now: number): IngressDescription[] {
        return this.live(now).filter(description => description.accepting);
    }

    /** All that may still be at work, in contact or not. */
    members(now: number): number {
        for (const [name, entry] of this.entries) {
            if (now - entry.seenAt > this.forgetMs) {
                this.entries.delete(name);
            }
        }
        return this.entries.size;
    }

    private select(keep: (entry: RosterEntry) => boolean): IngressDescription[] {
        return [...this.entries.values()].filter(keep).map(entry => entry.description)
            .sort((a, b) => a.name < b.name ? -1 : 1);
    }
}
