import { tolerantArray } from "@lentilramp/runtime";
import { z } from "zod";
import { portSchema } from "./port.ts";

/** A replica of a service in the platform's list. */
export const endpointSchema = z.object({
    /** Identifies one lifetime of the replica; a restart usually gets a new id. */
    id: z.string(),
    service: z.string(),
    host: z.string().min(1),
    port: portSchema,
    failureDomain: z.string(),
    slots: z.number().positive(),
    /** False if the replica is leaving or its state is unknown. */
    ready: z.boolean(),
    reclaimable: z.boolean(),
    /** Time of day at which this lifetime began, in milliseconds; a later one under the same id has lost all state. */
    startedAt: z.number().optional(),
    /** Version of the endpoint's software, which is part of a lifetime; undefined if the list does not say it. */
    version: z.string().optional(),
});
export type Endpoint = z.infer<typeof endpointSchema>;

/** The endpoints from one read of the platform's list. */
export const endpointListSchema = z.object({
    /** Sequence number; a later read has a higher one. */
    readNumber: z.number(),
    endpoints: tolerantArray(endpointSchema),
});
export type EndpointList = z.infer<typeof endpointListSchema>;

/** One lifetime of an endpoint. */
export const endpointLifetimeSchema = endpointSchema.pick({ id: true, startedAt: true });
export type EndpointLifetime = z.infer<typeof endpointLifetimeSchema>;

/** Ids of the ready endpoints of a service. */
class ReadyGroup {
    /** Built when it is first needed: only a failure of an endpoint needs it. */
    private ids: ReadonlySet<string> | undefined;

    constructor(private readonly endpoints: readonly Endpoint[]) {}

    get size(): number {
        return this.endpoints.length;
    }

    has(id: string): boolean {
        this.ids ??= new Set(this.endpoints.map(endpoint => endpoint.id));
        return this.ids.has(id);
    }
}

/** The current list of endpoints, indexed by service. */
export class EndpointDirectory {
    private endpoints: readonly Endpoint[] = [];
    private byService = new Map<string, Endpoint[]>();
    private readonly readyGroups = new Map<string, ReadyGroup>();
    /** Ids of the endpoints that the list shows as ready; undefined until they are needed. */
    private listedReady: ReadonlySet<string> | undefined;
    private readAt: number | undefined;
    /** Endpoints that announced that they are leaving, with the start of that lifetime. */
    private readonly leaving = new Map<string, number | undefined>();

    /**
     * Marks an endpoint as leaving and returns whether this is a change. Until the endpoint restarts, lists that show
     * it as ready are taken as outdated.
     */
    markLeaving(id: string): boolean {
        const endpoint = this.endpoints.find(entry => entry.id === id);
        if (endpoint === undefined || this.leaving.has(id)) {
            return false;
        }
        this.leaving.set(id, endpoint.startedAt);
        this.rebuildIndex();
        return true;
    }

    /** Marks the endpoints that others found to be leaving, unless they have restarted; returns those that are new. */
    mergeLeaving(lifetimes: readonly EndpointLifetime[]): string[] {
        const startTimes = new Map(this.endpoints.map(({ id, startedAt }) => [id, startedAt]));
        return lifetimes.filter(({ id, startedAt }) => startTimes.get(id) === startedAt && this.markLeaving(id))
            .map(({ id }) => id);
    }

    /** Endpoints that announced that they are leaving and that the list still shows as ready. */
    get leavingBeforeList(): EndpointLifetime[] {
        return this.endpoints.filter(({ id, ready }) => ready && this.leaving.has(id))
            .map(({ id, startedAt }) => ({ id, startedAt }));
    }

    /** Whether the current list was read later than at the instant `readAt`. */
    isNewerThan(readAt: number): boolean {
        return this.readAt !== undefined && readAt < this.readAt;
    }

    /** Replaces the list with one read at the instant `readAt`; a list older than the current one is ignored. */
    update(endpoints: readonly Endpoint[], readAt: number): void {
        if (this.isNewerThan(readAt)) {
            return;
        }
        this.readAt = readAt;
        this.endpoints = endpoints;
        this.listedReady = undefined;
        const startedAt = new Map(endpoints.map(endpoint => [endpoint.id, endpoint.startedAt]));
        for (const [id, leavingStartedAt] of this.leaving) {
            if (!startedAt.has(id) || startedAt.get(id) !== leavingStartedAt) {
                this.leaving.delete(id);
            }
        }
        this.rebuildIndex();
    }

    private rebuildIndex(): void {
        this.byService = new Map();
        this.readyGroups.clear();
        for (const endpoint of this.endpoints) {
            if (endpoint.ready && !this.leaving.has(endpoint.id)) {
                const group = this.byService.get(endpoint.service) ?? [];
                group.push(endpoint);
                this.byService.set(endpoint.service, group);
            }
        }
    }

    /** Records that the current list was found unchanged at the instant `readAt`. */
    confirm(readAt: number): void {
        this.readAt = Math.max(this.readAt ?? readAt, readAt);
    }

    /** Returns the age of the current list in milliseconds; Infinity before the first one. */
    ageMs(now: number): number {
        return this.readAt === undefined ? Infinity : now - this.readAt;
    }

    readyEndpoints(service: string): readonly Endpoint[] {
        return this.byService.get(service) ?? [];
    }

    /** Returns the ids of `readyEndpoints`, by which one is found without a look at all of them. */
    readyIds(service: string): Pick<ReadonlySet<string>, "size" | "has"> {
        let group = this.readyGroups.get(service);
        if (group === undefined) {
            group = new ReadyGroup(this.readyEndpoints(service));
            this.readyGroups.set(service, group);
        }
        return group;
    }

    get all(): readonly Endpoint[] {
        return this.endpoints;
    }

    /** Whether an endpoint is listed as ready and has not announced that it leaves. */
    isAvailable(id: string): boolean {
        return this.isReady(id) && !this.leaving.has(id);
    }

    isReady(id: string): boolean {
        this.listedReady ??= new Set(this.endpoints.filter(({ ready }) => ready).map(endpoint => endpoint.id));
        return this.listedReady.has(id);
    }
}
