import type { z } from "zod";
import type { Exchange } from "../http/exchange.ts";
import { HttpError } from "../http/http-error.ts";
import type { StandInDependencies } from "../http/http-stand-in.ts";
import { HttpStandIn } from "../http/http-stand-in.ts";
import type { CloudInstance, CloudOptions } from "./cloud-options.ts";
import { cloudOptions, reclaimRequest, refusalRequest, startRequest } from "./cloud-options.ts";
import { PriceTable } from "./price-table.ts";

export interface ReclaimNotice {
    sequence: number;
    instanceId: string;
    failureDomain: string;
    reclaimAt: number;
}

/** Cloud API with reclaimable and on-demand instances, changing prices, refused starts and reclaim notices. */
export class CloudApi extends HttpStandIn {
    private readonly options: CloudOptions;
    private readonly prices: PriceTable;
    private readonly instances = new Map<string, CloudInstance>();
    private readonly operations = new Map<string, CloudInstance>();
    private readonly refusalRates = new Map<string, number>();
    private notices: ReclaimNotice[] = [];
    private lastNotice = 0;
    private lastInstance = 0;

    constructor(input: z.input<typeof cloudOptions> = {}, dependencies?: Partial<StandInDependencies>) {
        const options = cloudOptions.parse(input);
        super(options, dependencies);
        this.options = options;
        this.prices = new PriceTable(options, this.random, this.clock.now());
    }

    /** Gives notice to a fraction of the live reclaimable instances of a failure domain. */
    reclaim(failureDomain: string, fraction: number, noticeMs: number): ReclaimNotice[] {
        const candidates = this.current().filter(instance =>
            instance.failureDomain === failureDomain && instance.market === "reclaimable"
            && (instance.state === "live" || instance.state === "starting")
        );
        const reclaimAt = this.clock.now() + noticeMs;
        return this.random.sample(candidates, Math.ceil(candidates.length * fraction)).map(instance => {
            instance.state = "leaving";
            instance.reclaimAt = reclaimAt;
            const notice = { sequence: ++this.lastNotice, instanceId: instance.id, failureDomain, reclaimAt };
            this.notices.push(notice);
            this.notices = this.notices.slice(-this.options.noticesKept);
            return notice;
        });
    }

    protected override async handle(exchange: Exchange): Promise<void> {
        const route = `${exchange.method} /${exchange.path.slice(0, 2).join("/")}`;
        switch (route) {
            case "GET /v1/prices":
                return exchange.reply(200, { at: this.clock.now(), prices: this.prices.read(this.clock.now()) });
            case "GET /v1/instances":
                return exchange.reply(200, { instances: this.current() });
            case "POST /v1/instances":
                return await this.startInstance(exchange);
            case "DELETE /v1/instances":
                return this.stopInstance(exchange, exchange.path[2] ?? "");
            case "GET /v1/notices": {
                const after = Number(exchange.query.get("after") ?? 0);
                return exchange.reply(200, { notices: this.notices.filter(notice => notice.sequence > after) });
            }
            case "POST /admin/reclaims":
                return await this.handleReclaim(exchange);
            case "POST /admin/refusals": {
                const body = await exchange.json(refusalRequest);
                this.refusalRates.set(body.failureDomain, body.rate);
                return exchange.reply(200, body);
            }
        }
        throw new HttpError(404, "not-found", `no route ${route}`);
    }

    /** Instances with their states at this instant, without those that are gone. */
    private current(): CloudInstance[] {
        const now = this.clock.now();
        for (const instance of this.instances.values()) {
            if (instance.state === "leaving" && instance.reclaimAt !== undefined && instance.reclaimAt <= now) {
                instance.state = "gone";
                this.instances.delete(instance.id);
            }
            else if (instance.state === "starting" && instance.readyAt <= now) {
                instance.state = "live";
            }
        }
        return [...this.instances.values()];
    }

    private async startInstance(exchange: Exchange): Promise<void> {
        const body = await exchange.json(startRequest);
        const known = this.operations.get(body.operationId);
        if (known !== undefined) {
            return exchange.reply(201, known);
        }
        const isKnown = this.options.failureDomains.includes(body.failureDomain)
            && this.options.machineClasses.some(({ name }) => name === body.machineClass);
        if (!isKnown) {
            throw new HttpError(400, "invalid-request", "unknown failure domain or machine class");
        }
        const refusalRate = this.refusalRates.get(body.failureDomain)
            ?? (body.market === "reclaimable" ? this.options.refusalRate : 0);
        if (this.random.next() < refusalRate) {
            throw new HttpError(409, "no-capacity", `no ${body.market} capacity in ${body.failureDomain}`);
        }
        const instance: CloudInstance = {
            id: `instance-${++this.lastInstance}`,
            failureDomain: body.failureDomain,
            machineClass: body.machineClass,
            market: body.market,
            state: "starting",
            readyAt: this.clock.now() + this.options.startMs,
        };
        this.instances.set(instance.id, instance);
        this.operations.set(body.operationId, instance);
        exchange.reply(201, instance);
    }

    private stopInstance(exchange: Exchange, id: string): void {
        if (!this.instances.delete(id)) {
            throw new HttpError(404, "unknown-instance", `no instance ${id}`);
        }
        exchange.reply(200, { id, state: "gone" });
    }

    private async handleReclaim(exchange: Exchange): Promise<void> {
        const body = await exchange.json(reclaimRequest);
        const noticeMs = body.noticeMs ?? this.options.noticeMs;
        const first = this.reclaim(body.failureDomain, body.fraction, noticeMs);
        for (let wave = 1; wave < body.waves; wave++) {
            this.schedule(
                this.clock.now() + wave * body.intervalMs,
                () => this.reclaim(body.failureDomain, body.fraction, noticeMs),
            );
        }
        exchange.reply(200, { notices: first });
    }
}
