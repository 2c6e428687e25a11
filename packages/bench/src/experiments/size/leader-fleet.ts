import type { SyncRequest } from "@lentilramp/exchange";
import { type Endpoint, syncIntervalMs } from "@lentilramp/fleet";
import type { RoomReport, WorkRow } from "@lentilramp/room";
import { ManualClock, SeededRandom } from "@lentilramp/runtime";
import { syncRequest } from "../../fakes/sync-request.ts";

export interface LeaderOptions {
    ingresses: number;
    endpoints: number;
    /** Rows of rank and workspace in the report of each service. */
    rows: number;
    /** Offered work in relation to the slots of the endpoints. */
    pressure: number;
    seed: number;
}

export const leaderServices = ["plain", "engines"] as const;
const slots = 8;
/** Endpoints that an ingress reports as slow or fast in a sync; the most that one carries. */
const reportedPaces = 24;
const workspaces = 500;
/** Requests in flight at one ingress of 1,600. */
const inFlight = 15;

/** The syncs that the ingresses of a large fleet send to their leader, one after the other. */
export class LeaderFleet {
    readonly clock = new ManualClock(1_000_000);
    readonly endpoints: readonly Endpoint[];
    readonly intervalMs: number;
    private readonly random: SeededRandom;
    private sent = 0;

    constructor(readonly options: LeaderOptions) {
        this.random = new SeededRandom(options.seed);
        this.intervalMs = syncIntervalMs(options.ingresses);
        this.endpoints = [...Array(options.endpoints).keys()].map(i => ({
            id: `replica-${i.toString(36).padStart(12, "0")}`,
            service: leaderServices[i % leaderServices.length] ?? "",
            host: `10.${i >> 16}.${i >> 8 & 255}.${i & 255}`,
            port: 8_000,
            failureDomain: `d${i % 21}`,
            slots,
            ready: true,
            reclaimable: true,
            startedAt: 5,
        }));
    }

    /** Time between two syncs at the leader, in milliseconds. */
    get syncGapMs(): number {
        return this.intervalMs / this.options.ingresses;
    }

    /** Advances the clock to the next sync and returns it. */
    nextSync(): SyncRequest {
        this.clock.advanceTo(this.clock.now() + this.syncGapMs);
        const name = `ingress-${this.sent++ % this.options.ingresses}`;
        return syncRequest(name, {
            wallMs: this.clock.now(),
            elapsedMs: this.intervalMs,
            listNumber: 1,
            load: Object.fromEntries(
                Array.from({ length: inFlight }, () => [this.anyEndpoint().id, { running: 1, unreadTokens: 100 }]),
            ),
            demand: { engines: { unreadTokens: 5_000, promptTokens: 9_000, placeMs: 900, prefillTokensPerMs: 40 } },
            room: this.roomReport(),
            paces: Object.fromEntries(
                Array.from({ length: reportedPaces }, () => [this.anyEndpoint().id, [1 + this.random.next(), 1]]),
            ),
        });
    }

    private anyEndpoint(): Endpoint {
        return this.endpoints[this.random.nextInt(this.endpoints.length)] as Endpoint;
    }

    private roomReport(): RoomReport {
        const { ingresses, endpoints, rows, pressure } = this.options;
        const slotMsOfService = endpoints / leaderServices.length * slots * pressure * this.intervalMs / ingresses;
        return {
            overMs: this.intervalMs,
            services: Object.fromEntries(leaderServices.map(service => [
                service,
                Array.from({ length: rows }, (...[, i]): WorkRow => {
                    const slotMs = Math.round(slotMsOfService / rows * (0.5 + this.random.next()));
                    return [i % 3, `workspace-${this.random.nextInt(workspaces)}`, slotMs, slotMs * 2, slotMs, slotMs];
                }),
            ])),
        };
    }
}
