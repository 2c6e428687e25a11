import type { EngineOrder, StartOrder } from "@lentilramp/placement";
import { type JsonClient, PlatformError } from "@lentilramp/protocol";
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
const instancesSchema = z.looseObject({ instances: z.array(cloudInstanceSchema) });
const noticesSchema = z.looseObject({
    notices: z.array(z.looseObject({ sequence: z.int(), instanceId: z.string(), reclaimAt: z.number() })),
});
export type CloudNotice = z.infer<typeof noticesSchema>["notices"][number];
const weightsSchema = z.looseObject({
    weights: z.array(z.looseObject({ name: z.string(), bytes: z.number().min(0) })),
});
const anything = z.unknown();

/** Cloud API and weight store of docs/protocols.md. */
export class PlatformClient {
    constructor(
        private readonly client: JsonClient,
        private readonly cloudUrl: string,
        private readonly weightStoreUrl: string | undefined,
    ) {}

    async prices(deadline: number) {
        return (await this.client.call("GET", this.cloud("/v1/prices"), pricesSchema, deadline)).prices;
    }

    async instances(deadline: number): Promise<CloudInstance[]> {
        return (await this.client.call("GET", this.cloud("/v1/instances"), instancesSchema, deadline)).instances;
    }

    async notices(after: number, deadline: number): Promise<CloudNotice[]> {
        return (await this.client.call("GET", this.cloud(`/v1/notices?after=${after}`), noticesSchema, deadline))
            .notices;
    }

    /** Sizes in bytes by name; empty without a weight store. */
    async weights(deadline: number): Promise<Map<string, number>> {
        if (this.weightStoreUrl === undefined) {
            return new Map();
        }
        const url = new URL("/v1/weights", this.weightStoreUrl);
        const { weights } = await this.client.call("GET", url, weightsSchema, deadline);
        return new Map(weights.map(({ name, bytes }) => [name, bytes]));
    }

    /** The same operation id gives the same instance. Status 409 means that there is no capacity. */
    async start(order: StartOrder, deadline: number): Promise<CloudInstance> {
        const { operationId, failureDomain, machineClass, market } = order;
        const body = { operationId, failureDomain, machineClass, market };
        return await this.client.call("POST", this.cloud("/v1/instances"), cloudInstanceSchema, deadline, body);
    }

    /** An instance that is already gone counts as stopped. */
    async stop(instanceId: string, deadline: number): Promise<void> {
        const url = this.cloud(`/v1/instances/${encodeURIComponent(instanceId)}`);
        await this.client.call("DELETE", url, anything, deadline).catch((err: unknown) => {
            if (!(err instanceof PlatformError) || err.status !== 404) {
                throw err;
            }
        });
    }

    private cloud(path: string): URL {
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

/** What an engine reports; `receivedAt` is an instant of the own clock, `state.now` one of the engine's clock. */
export interface EngineReport {
    state: z.infer<typeof engineStateSchema>;
    inFlight: number;
    receivedAt: number;
}

export interface EngineAddress {
    host: string;
    port: number;
}

/** Reports of and orders to engines. */
export class EngineClient {
    constructor(private readonly client: JsonClient, private readonly now: () => number) {}

    async report(engine: EngineAddress, deadline: number): Promise<EngineReport> {
        const load = await this.client.call("GET", this.url(engine, "/v1/load"), loadSchema, deadline);
        const state = await this.client.call("GET", this.url(engine, "/v1/orders"), engineStateSchema, deadline);
        return { state, inFlight: load.running + load.queued, receivedAt: this.now() };
    }

    /** `deadline` also ends the validity of the order; it is stated on the engine's clock. */
    async order(engine: EngineAddress, order: EngineOrder, report: EngineReport, deadline: number): Promise<void> {
        // The engine's clock was read before the report arrived, so the order never outlives the deadline.
        const expiresAt = report.state.now + deadline - report.receivedAt;
        const { kind, target, fencing } = order;
        const body = { kind, target, fencingNumber: fencing, expiresAt };
        await this.client.call("POST", this.url(engine, "/v1/orders"), anything, deadline, body);
    }

    private url({ host, port }: EngineAddress, path: string): URL {
        return new URL(path, `http://${host.includes(":") ? `[${host}]` : host}:${port}`);
    }
}
