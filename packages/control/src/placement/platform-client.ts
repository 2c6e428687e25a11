import type { EngineOrder, StartOrder } from "@lentilramp/placement";
import { type JsonClient, PlatformError } from "@lentilramp/protocol";
import { tolerantArray } from "@lentilramp/runtime";
import { z } from "zod";

const marketSchema = z.enum(["reclaimable", "on-demand"]);
const cloudInstanceSchema = z.looseObject({
    id: z.string(),
    failureDomain: z.string(),
    machineClass: z.string(),
    market: marketSchema,
    state: z.string(),
});
export type CloudInstance = z.infer<typeof cloudInstanceSchema>;
const pricesSchema = z.looseObject({
    prices: z.array(z.looseObject({
        failureDomain: z.string(),
        machineClass: z.string(),
        market: marketSchema,
        pricePerHour: z.number().min(0),
    })),
});
const instancesSchema = z.looseObject({ instances: tolerantArray(cloudInstanceSchema) });
const noticesSchema = z.looseObject({
    notices: tolerantArray(z.looseObject({ sequence: z.int(), instanceId: z.string(), reclaimAt: z.number() })),
});
export type CloudNotice = z.infer<typeof noticesSchema>["notices"][number];
const weightsSchema = z.looseObject({
    weights: z.array(z.looseObject({ name: z.string(), bytes: z.number().min(0) })),
});
const anySchema = z.unknown();
const notFoundStatus = 404;

/** Client of the cloud API and of the weight store, which docs/protocols.md describes. */
export class PlatformClient {
    constructor(
        private readonly client: JsonClient,
        private readonly cloudUrl: string,
        private readonly weightStoreUrl: string | undefined,
    ) {}

    async prices(deadline: number) {
        return (await this.client.call("GET", this.cloudApiUrl("/v1/prices"), pricesSchema, deadline)).prices;
    }

    async instances(deadline: number): Promise<CloudInstance[]> {
        return (await this.client.call("GET", this.cloudApiUrl("/v1/instances"), instancesSchema, deadline)).instances;
    }

    /** Returns the reclaim notices with a sequence number greater than `after`. */
    async notices(after: number, deadline: number): Promise<CloudNotice[]> {
        return (await this.client.call("GET", this.cloudApiUrl(`/v1/notices?after=${after}`), noticesSchema, deadline))
            .notices;
    }

    /** Returns the sizes of models and adapters in bytes by name; empty if no weight store is configured. */
    async weightBytes(deadline: number): Promise<Map<string, number>> {
        if (this.weightStoreUrl === undefined) {
            return new Map();
        }
        const url = new URL("/v1/weights", this.weightStoreUrl);
        const { weights } = await this.client.call("GET", url, weightsSchema, deadline);
        return new Map(weights.map(({ name, bytes }) => [name, bytes]));
    }

    /**
     * Starts an instance. The same operation id returns the same instance. Throws a `PlatformError` with status 409 if
     * there is no capacity.
     */
    async start(order: StartOrder, deadline: number): Promise<CloudInstance> {
        const { operationId, failureDomain, machineClass, market } = order;
        const body = { operationId, failureDomain, machineClass, market };
        return await this.client.call("POST", this.cloudApiUrl("/v1/instances"), cloudInstanceSchema, deadline, body);
    }

    /** Stops an instance; succeeds if the instance is already gone. */
    async stop(instanceId: string, deadline: number): Promise<void> {
        const url = this.cloudApiUrl(`/v1/instances/${encodeURIComponent(instanceId)}`);
        await this.client.call("DELETE", url, anySchema, deadline).catch((err: unknown) => {
            if (!(err instanceof PlatformError) || err.status !== notFoundStatus) {
                throw err;
            }
        });
    }

    private cloudApiUrl(path: string): URL {
        return new URL(path, this.cloudUrl);
    }
}

const engineStateSchema = z.looseObject({
    now: z.number(),
    role: z.string(),
    version: z.string(),
    models: z.array(z.string()),
    adapters: z.array(z.string()),
    accepted: z.array(z.looseObject({ kind: z.string(), target: z.string() })),
    failed: z.array(z.looseObject({ kind: z.string(), target: z.string() })),
});
const loadSchema = z.looseObject({ running: z.number(), queued: z.number() });

/** State and load of an engine. `receivedAt` is an instant of this process's clock, `state.now` of the engine's. */
export interface EngineReport {
    state: z.infer<typeof engineStateSchema>;
    inFlight: number;
    receivedAt: number;
}

export interface EngineAddress {
    host: string;
    port: number;
}

/** Client that reads the reports of engines and sends them orders. */
export class EngineClient {
    constructor(private readonly client: JsonClient, private readonly now: () => number) {}

    async report(engine: EngineAddress, deadline: number): Promise<EngineReport> {
        const load = await this.client.call("GET", this.url(engine, "/v1/load"), loadSchema, deadline);
        const state = await this.client.call("GET", this.url(engine, "/v1/orders"), engineStateSchema, deadline);
        return { state, inFlight: load.running + load.queued, receivedAt: this.now() };
    }

    /** Sends an order, which expires at `deadline`; the request contains this instant on the engine's clock. */
    async order(engine: EngineAddress, order: EngineOrder, report: EngineReport, deadline: number): Promise<void> {
        // The engine read its clock before the report arrived, so the order expires no later than the deadline.
        const expiresAt = report.state.now + deadline - report.receivedAt;
        const { kind, target, fencing } = order;
        const body = { kind, target, fencingNumber: fencing, expiresAt };
        await this.client.call("POST", this.url(engine, "/v1/orders"), anySchema, deadline, body);
    }

    private url({ host, port }: EngineAddress, path: string): URL {
        return new URL(path, `http://${host.includes(":") ? `[${host}]` : host}:${port}`);
    }
}
