import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import type { FleetView } from "./fleet-view.ts";
import type { EndpointSource } from "./platform-adapter.ts";

/** How often the age of the list is looked at. */
const checkMs = 250;
const callMs = 1_000;

/** Reads the list of endpoints itself when the stewards have passed on no fresh one. */
export class EndpointListFallback extends PeriodicComponent {
    readonly name = "list-fallback";
    private lastReadAt = -Infinity;

    constructor(
        private readonly view: FleetView,
        private readonly source: EndpointSource,
        /** Age of the held list from which it is read here, in milliseconds. */
        private readonly maxAgeMs: number,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, checkMs);
    }

    protected override async runOnce(): Promise<void> {
        const now = this.clock.now();
        // The pause grows with the fleet, so that all ingresses together stay below the rate of the list.
        const pauseMs = Math.max(this.maxAgeMs, this.view.memberCount * 40);
        if (this.view.endpoints.ageMs(now) < this.maxAgeMs || now - this.lastReadAt < pauseMs) {
            return;
        }
        this.lastReadAt = now;
        const endpoints = await this.source.read(now + callMs);
        this.view.applyEndpointList(endpoints, now, 0);
        this.log.info("endpoints.read-here", { endpoints: endpoints.length });
    }

    protected override onFailure(err: unknown): void {
        this.log.warn("endpoints.read-failed", { error: String(err) });
    }
}
