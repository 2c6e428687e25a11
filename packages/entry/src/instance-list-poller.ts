import { type Clock, PeriodicComponent } from "@lentilramp/runtime";
import { z } from "zod";
import type { EndpointObserver } from "./endpoint-observer.ts";
import type { UpstreamClient } from "./upstream.ts";

const pollIntervalMs = 500;
const pollDeadlineMs = 1_000;

const listSchema = z.looseObject({
    instances: z.array(z.looseObject({ id: z.string(), state: z.string() })),
});

/** Polls the platform's list of instances. It lags, so it only takes endpoints out of use and never adds any. */
export class InstanceListPoller extends PeriodicComponent {
    readonly name = "leaving-list";

    constructor(
        private readonly url: URL,
        private readonly observer: EndpointObserver,
        private readonly upstream: UpstreamClient,
        clock: Clock,
    ) {
        super(clock, pollIntervalMs);
    }

    protected override onFailure(): void {
        // The list lags and may be unreachable; the endpoints known as leaving stay so.
    }

    protected override async runOnce(): Promise<void> {
        const { hostname, port, pathname } = this.url;
        const address = { id: "instance-list", host: hostname, port: Number(port) };
        const list = await this.upstream.getJson(address, pathname, listSchema, this.clock.now() + pollDeadlineMs);
        this.observer.setLeaving(
            new Set(list.instances.filter(item => item.state !== "live").map(item => item.id)),
        );
    }
}
