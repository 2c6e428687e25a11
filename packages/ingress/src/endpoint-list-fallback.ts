import type { EndpointSource } from "@lentilramp/exchange";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import type { FleetView } from "./fleet-view.ts";

/** Interval between checks of the list's age, in milliseconds. */
const checkIntervalMs = 250;
/** The same until the first read or list after the start. */
const firstCheckIntervalMs = 25;
const readTimeoutMs = 1_000;
/** Minimum pause between two reads for each ingress of the fleet, in milliseconds. */
const pausePerIngressMs = 40;

/**
 * Reads the endpoint list from the platform when the stewards have not delivered a recent one. After a start, a leader
 * delivers it soon; if there is none, this process does not wait for the one to come, which has to read the list first.
 */
export class EndpointListFallback extends PeriodicComponent {
    readonly name = "list-fallback";
    private lastReadAt = -Infinity;
    /** Instant until which a leader may deliver the first list. */
    private leaderAwaitedUntil = -Infinity;

    constructor(
        private readonly view: FleetView,
        private readonly source: EndpointSource,
        /** Age of the list in use at which this process reads it itself, in milliseconds. */
        private readonly maxAgeMs: number,
        clock: Clock,
        private readonly log: EventLog,
        /** Returns whether the stewards had no leader when this process asked them. */
        private readonly lacksLeader: () => boolean = () => false,
    ) {
        super(clock, checkIntervalMs);
    }

    override async start(): Promise<void> {
        this.leaderAwaitedUntil = this.clock.now() + checkIntervalMs;
        await super.start();
    }

    protected override nextDelayMs(): number {
        return this.awaitsFirstList ? firstCheckIntervalMs : super.nextDelayMs();
    }

    private get awaitsFirstList(): boolean {
        return this.lastReadAt === -Infinity && this.view.endpoints.ageMs(this.clock.now()) === Infinity;
    }

    protected override async runOnce(): Promise<void> {
        const now = this.clock.now();
        this.view.releaseVersions();
        // The pause grows with the fleet so that all ingresses together stay below the rate limit of the list.
        const pauseMs = Math.max(this.maxAgeMs, this.view.memberCount * pausePerIngressMs);
        if (this.view.endpoints.ageMs(now) < this.maxAgeMs || now - this.lastReadAt < pauseMs) {
            return;
        }
        if (this.awaitsFirstList && !this.lacksLeader() && now < this.leaderAwaitedUntil) {
            return;
        }
        this.lastReadAt = now;
        const endpoints = await this.source.read(now + readTimeoutMs);
        this.view.applyEndpointList(endpoints, now, 0);
        this.log.info("endpoints.read-here", { endpoints: endpoints.length });
    }

    protected override onFailure(err: unknown): void {
        this.log.warn("endpoints.read-failed", { error: String(err) });
    }
}
