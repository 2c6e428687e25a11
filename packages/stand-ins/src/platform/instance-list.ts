import { z } from "zod";
import type { Exchange } from "../http/exchange.ts";
import { HttpError } from "../http/http-error.ts";
import type { StandInDependencies } from "../http/http-stand-in.ts";
import { HttpStandIn, listenOptions } from "../http/http-stand-in.ts";

/** One instance of the list. */
export const listedInstance = z.object({
    id: z.string(),
    host: z.string(),
    port: z.number().int(),
    failureDomain: z.string(),
    state: z.enum(["live", "leaving"]).default("live"),
});

export type ListedInstance = z.infer<typeof listedInstance>;

/** Options of the instance list; every field has a default. */
export const instanceListOptions = listenOptions.extend({
    lagMs: z.number().min(0).default(2_000),
    instances: z.array(listedInstance).default([]),
});

/** List of live and leaving instances that shows changes only after a lag. */
export class InstanceList extends HttpStandIn {
    private readonly lagMs: number;
    private versions: { visibleAt: number; instances: ListedInstance[]; }[];

    constructor(input: z.input<typeof instanceListOptions> = {}, dependencies?: Partial<StandInDependencies>) {
        const options = instanceListOptions.parse(input);
        super(options, dependencies);
        this.lagMs = options.lagMs;
        this.versions = [{ visibleAt: -Infinity, instances: options.instances }];
    }

    /** Replaces the list; readers see it after the lag. */
    set(instances: readonly ListedInstance[]): void {
        this.versions.push({ visibleAt: this.clock.now() + this.lagMs, instances: [...instances] });
    }

    /** The list as readers see it now. */
    visible(): readonly ListedInstance[] {
        const now = this.clock.now();
        const index = this.versions.findLastIndex(version => version.visibleAt <= now);
        this.versions = this.versions.slice(Math.max(0, index));
        return this.versions[0]?.instances ?? [];
    }

    protected override async handle(exchange: Exchange): Promise<void> {
        const route = `${exchange.method} /${exchange.path.join("/")}`;
        if (route === "GET /v1/instances") {
            return exchange.reply(200, { instances: this.visible() });
        }
        if (route === "PUT /admin/instances") {
            const body = await exchange.json(z.object({ instances: z.array(listedInstance) }));
            this.set(body.instances);
            return exchange.reply(200, { accepted: body.instances.length });
        }
        throw new HttpError(404, "not-found", `no route ${route}`);
    }
}
