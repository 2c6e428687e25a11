import { z } from "zod";

/** One replica of a service, as the platform's list shows it. */
export const endpointSchema = z.object({
    /** Names one lifetime of the replica; a restart mostly has a new one. */
    id: z.string(),
    service: z.string(),
    host: z.string(),
    port: z.int(),
    failureDomain: z.string(),
    slots: z.number(),
    /** False when the replica leaves or its state is unknown. */
    ready: z.boolean(),
    reclaimable: z.boolean(),
});
export type Endpoint = z.infer<typeof endpointSchema>;

/** The endpoints as of one read of the list. */
export const endpointListSchema = z.object({
    /** Orders lists; a later read has a higher number. */
    readNumber: z.number(),
    endpoints: z.array(endpointSchema),
});
export type EndpointList = z.infer<typeof endpointListSchema>;

/** The endpoints to which requests may be sent. */
export class EndpointDirectory {
    private list: readonly Endpoint[] = [];
    private byService = new Map<string, Endpoint[]>();
    private readAt: number | undefined;

    /** Takes a list read at the instant `readAt`; an older one than the held one is ignored. */
    update(endpoints: readonly Endpoint[], readAt: number): void {
        if (this.readAt !== undefined && readAt <= this.readAt) {
            return;
        }
        this.readAt = readAt;
        this.list = endpoints;
        this.byService = new Map();
        for (const endpoint of endpoints) {
            if (endpoint.ready) {
                const group = this.byService.get(endpoint.service) ?? [];
                group.push(endpoint);
                this.byService.set(endpoint.service, group);
            }
        }
    }

    /** Notes that the held list was confirmed unchanged at `readAt`. */
    confirm(readAt: number): void {
        this.readAt = Math.max(this.readAt ?? readAt, readAt);
    }

    /** Age of the held list in milliseconds; Infinity before the first one. */
    age(now: number): number {
        return this.readAt === undefined ? Infinity : now - this.readAt;
    }

    ready(service: string): readonly Endpoint[] {
        return this.byService.get(service) ?? [];
    }

    get all(): readonly Endpoint[] {
        return this.list;
    }

    has(id: string): boolean {
        return this.list.some(endpoint => endpoint.id === id && endpoint.ready);
    }
}
