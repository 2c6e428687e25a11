import { type Clock, PeriodicComponent, tolerantArray } from "@lentilramp/runtime";
import { z } from "zod";
import type { EndpointObserver } from "./endpoint-observer.ts";
import type { UpstreamClient } from "./upstream.ts";

const pollIntervalMs = 500;
const pollDeadlineMs = 1_000;

const listSchema = z.looseObject({
    instances: tolerantArray(z.looseObject({ id: z.string(), state: z.string() })),
});

/** Polls the platform's instance list. Since the list lags, it is only used to remove endpoints, never to add any. */
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
        // When the list is unreachable, the endpoints that were listed as leaving keep that state.
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
