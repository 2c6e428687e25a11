import { readBody } from "@lentilramp/protocol";
import { type Clock, PeriodicComponent } from "@lentilramp/runtime";
import { z } from "zod";
import type { EndpointObserver } from "./endpoint-observer.ts";
import type { UpstreamClient } from "./upstream.ts";

const pollIntervalMs = 500;
const pollDeadlineMs = 1_000;
const answerLimitBytes = 4 * 1_048_576;

const listSchema = z.looseObject({
    instances: z.array(z.looseObject({ id: z.string(), state: z.string() })),
});

/** Polls the platform's list of instances. It lags, so it only takes endpoints out of use and never adds any. */
export class LeavingList extends PeriodicComponent {
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
        const deadline = this.clock.now() + pollDeadlineMs;
        const abort = new AbortController();
        const timer = this.clock.schedule(deadline, () => abort.abort());
        try {
            const res = await this.upstream.send({
                endpoint: { id: "instance-list", host: this.url.hostname, port: Number(this.url.port) },
                method: "GET",
                path: this.url.pathname,
                headers: {},
                deadline,
                signal: abort.signal,
            });
            const list = listSchema.parse(JSON.parse((await readBody(res, answerLimitBytes)).toString("utf8")));
            this.observer.setLeaving(
                new Set(list.instances.filter(item => item.state !== "live").map(item => item.id)),
            );
        }
        finally {
            timer.cancel();
        }
    }
}
