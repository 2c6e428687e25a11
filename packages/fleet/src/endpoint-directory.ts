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
    /** Time of day at which this lifetime began, in milliseconds; a later one under the same id knows nothing. */
    startedAt: z.number().optional(),
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
    /** Endpoints that said themselves that they leave, with the start of that lifetime. */
    private readonly leaving = new Map<string, number | undefined>();

    /** Notes that an endpoint leaves. A list that shows it ready is older than that, until it starts anew. */
    markLeaving(id: string): boolean {
        const endpoint = this.list.find(entry => entry.id === id);
        if (endpoint === undefined || this.leaving.has(id)) {
            return false;
        }
        this.leaving.set(id, endpoint.startedAt);
        this.group();
        return true;
    }

    /** Takes a list read at the instant `readAt`; an older one than the held one is ignored. */
    update(endpoints: readonly Endpoint[], readAt: number): void {
        if (this.readAt !== undefined && readAt <= this.readAt) {
            return;
        }
        this.readAt = readAt;
        this.list = endpoints;
        const startedAt = new Map(endpoints.map(endpoint => [endpoint.id, endpoint.startedAt]));
        for (const [id, leavingSince] of this.leaving) {
            if (!startedAt.has(id) || startedAt.get(id) !== leavingSince) {
                this.leaving.delete(id);
            }
        }
        this.group();
    }

    private group(): void {
        this.byService = new Map();
        for (const endpoint of this.list) {
            if (endpoint.ready && !this.leaving.has(endpoint.id)) {
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
    ageMs(now: number): number {
        return this.readAt === undefined ? Infinity : now - this.readAt;
    }

    readyEndpoints(service: string): readonly Endpoint[] {
        return this.byService.get(service) ?? [];
    }

    get all(): readonly Endpoint[] {
        return this.list;
    }

    isReady(id: string): boolean {
        return this.list.some(endpoint => endpoint.id === id && endpoint.ready);
    }
}
