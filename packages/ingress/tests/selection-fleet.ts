import type { DispatchRequest, EndpointChoice } from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import type { FleetView, Relay, VersionSplit } from "@lentilramp/ingress";
import type { RolloutNotice } from "@lentilramp/rollouts";
import { type ManualClock, SeededRandom } from "@lentilramp/runtime";
import { testCatalog, testRoute, testWorkspace } from "../../catalog/tests/fixtures.ts";
import { slots, syncAnswer, testEndpoint, unconnectedIngress } from "./unconnected-ingress.ts";
import { notice } from "./version-notice.ts";

const catalog = testCatalog({
    routes: [testRoute({ rank: 1 }), testRoute({ name: "prompts", targets: [{ service: "model", weight: 1 }] })],
    workspaces: [testWorkspace()],
});

export { slots };

export interface FleetOptions {
    endpoints: number;
    service: "app" | "model";
    seed: number;
    /** Every `newEvery`-th endpoint has the version v2, the others v1. */
    newEvery?: number;
}

/** An ingress without a network, before one service whose loads, limits, health, list and versions change. */
export class SelectionFleet {
    readonly clock: ManualClock;
    readonly view: FleetView;
    readonly relay: Relay;
    readonly versions: VersionSplit;
    readonly random: SeededRandom;
    /** Numbers that the ingress draws. */
    readonly drawn: SeededRandom;
    /** All endpoints that the service has ever had. */
    readonly all: readonly Endpoint[];
    readonly left = new Set<string>();
    private told: Partial<RolloutNotice> | undefined;
    private lists = 0;
    private revision = 0;
    private requests = 0;

    constructor(private readonly fleet: FleetOptions) {
        const { endpoints, service, seed, newEvery = 3 } = fleet;
        this.random = new SeededRandom(seed);
        this.drawn = new SeededRandom(seed + 1);
        const ingress = unconnectedIngress(catalog, this.drawn);
        this.clock = ingress.clock;
        this.view = ingress.view;
        this.versions = ingress.versions;
        this.relay = ingress.relay;
        // This ingress may use two connections to an endpoint, fewer than it has slots.
        this.view.applySyncAnswer(syncAnswer({ members: 100 }), this.clock.now());
        this.all = [...Array(endpoints).keys()].map(i =>
            testEndpoint({ id: `e${i}`, service, version: i % newEvery === 0 ? "v2" : "v1" })
        );
        this.applyList();
        this.view.loads.applyPeerLoad("peer", this.all.map(({ id }) => [id, this.randomLoad()]), true);
    }

    applyList(): void {
        this.clock.advanceTo(this.clock.now() + 1);
        // A list that is read again has other objects.
        const list = this.all.filter(({ id }) => !this.left.has(id)).map(entry => ({ ...entry }));
        this.view.applyEndpointList(
            [...list, testEndpoint({ id: "e-1", service: "other" })],
            this.clock.now(),
            ++this.lists,
        );
    }

    randomLoad(): { running: number; unreadTokens: number; } {
        return { running: this.random.nextInt(slots + 2), unreadTokens: 0 };
    }

    anyId(): string {
        return this.all[this.random.nextInt(this.all.length)]?.id ?? "";
    }

    tell(overrides: Partial<RolloutNotice>): void {
        this.told = { state: "running", share: 0, ...overrides };
        const rollouts = {
            revision: ++this.revision,
            partial: false,
            services: { [this.fleet.service]: notice({ validMs: 1_000_000, ...overrides }) },
        };
        this.versions.apply({ rollouts, leading: true }, this.clock.now());
    }

    /** Whether some requests may use a version; `required` is that of a stream which is taken up. */
    mayUse(version: string, required: string | undefined): boolean {
        const { state, share = 0 } = this.told ?? {};
        if (required !== undefined && required !== version) {
            return false;
        }
        switch (state) {
            case undefined:
                return true;
            case "running":
                // Streams go on at the old version until the roll-out is closed.
                return version === "v2" ? share > 0 : share < 1 || required === version;
            case "rolled_back":
                return version === "v1";
            case "completed":
                return version === "v2";
        }
    }

    /** Fills this ingress's share of the connections of an endpoint, with requests that end soon unless `lasting`. */
    fillConnections(id: string, lasting = false): void {
        const share = this.relay.maxIdleConnections(this.fleet.service);
        const prediction = { firstByteMs: 10, idleFirstByteMs: 10, unreadTokens: 0 };
        for (let i = lasting ? 0 : this.view.loads.localRunning(id); i < share; i++) {
            const sent = this.view.loads.trackRequest(id, prediction, this.clock.now());
            if (!lasting) {
                this.clock.schedule(this.clock.now() + 200 + this.random.nextInt(400), () => sent.recordEnd());
            }
        }
    }

    /** Applies an answer that states a limit which leaves no permit for now. */
    exhaustLimit(id: string): void {
        const now = this.clock.now();
        this.view.limits.recordAnswer({ id, service: this.fleet.service, startedAt: undefined }, 0.000_1, now, now);
    }

    eject(id: string): void {
        const siblings = this.all.map(entry => entry.id);
        const now = this.clock.now();
        siblings.slice(0, 40).forEach(other => this.view.health.recordOutcome(other, siblings, "answered", now));
        [0, 1, 2].forEach(() => this.view.health.recordOutcome(id, siblings, "broken", now));
    }

    /** Changes something at random. */
    change(): void {
        const { random, view, clock } = this;
        view.loads.applyPeerLoad("peer", [[this.anyId(), this.randomLoad()], [this.anyId(), this.randomLoad()]], false);
        switch (random.nextInt(12)) {
            case 0:
                this.left.add(this.anyId());
                this.left.delete(this.anyId());
                this.applyList();
                break;
            case 1:
                view.endpoints.markLeaving(this.anyId());
                break;
            case 2:
                view.health.pause(this.anyId(), clock.now() + 300);
                break;
            case 3:
                this.eject(this.anyId());
                break;
            case 4:
                this.exhaustLimit(this.anyId());
                break;
            case 5:
                this.fillConnections(this.anyId());
                break;
            case 6:
                this.tell({ share: [0, 0.3, 1][random.nextInt(3)] });
                break;
            case 7:
                this.tell(
                    random.next() < 0.5
                        ? { state: "rolled_back", barred: ["v2"] }
                        : { state: "completed", barred: ["v1"] },
                );
                break;
        }
        clock.advanceTo(clock.now() + random.nextInt(30));
    }

    request(): DispatchRequest {
        const now = this.clock.now();
        const { service } = this.fleet;
        const id = `r${this.requests++}`;
        return {
            id,
            service,
            workspace: "w",
            rank: this.random.nextInt(3),
            arrivedAt: now,
            targetAt: now + 100 + this.random.nextInt(500),
            deadline: now + 3_000,
            work: service === "app" ? undefined : {
                parts: [{ id: `shared${this.random.nextInt(5)}`, tokens: 1_000 }, { id, tokens: 100 }],
                promptTokens: 1_100,
                maxOutputTokens: 50,
                outputTokens: 50,
            },
        };
    }

    /** Counts a request that is sent as load until its answer ends. */
    serve({ endpoint: { id }, prediction }: EndpointChoice<Endpoint>, req: DispatchRequest): void {
        const sent = this.view.loads.trackRequest(id, prediction, this.clock.now());
        this.view.health.recordDispatch(id, this.clock.now());
        this.view.limits.recordSend(id, this.clock.now());
        if (req.work !== undefined) {
            this.view.prefixMemory.record(id, req.work.parts, 20_000, this.clock.now());
        }
        this.clock.schedule(this.clock.now() + 20 + this.random.nextInt(300), () => sent.recordEnd());
    }
}
