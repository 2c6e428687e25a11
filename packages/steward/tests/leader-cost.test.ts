import { syncRequest } from "@lentilramp/bench";
import { type SyncRequest, syncRequestSchema } from "@lentilramp/exchange";
import { type Endpoint, syncIntervalMs } from "@lentilramp/fleet";
import { type AdmissionLevels, RoomLedger, type ServiceCapacity, type WorkRow } from "@lentilramp/room";
import { ManualClock, SeededRandom } from "@lentilramp/runtime";
import { FleetCoordinator, FleetFactors, FleetRoom } from "@lentilramp/steward";
import { expect } from "chai";

const service = "app";
const slotsPerEndpoint = 8;
const endpointsPerIngress = 4;

/** Returns the sync of an ingress that knows the list of endpoints, as the leader reads it. */
function parsedSync(name: string, reports: Partial<SyncRequest> = {}): SyncRequest {
    return syncRequestSchema.parse(syncRequest(name, { listNumber: 1, ...reports }));
}

/** Endpoints that count how often a property of one of them is read. */
function countingEndpoints(count: number): { endpoints: Endpoint[]; reads: () => number; } {
    let reads = 0;
    const endpoints = [...Array(count).keys()].map(i =>
        new Proxy<Endpoint>({
            id: `e${i}`,
            service,
            host: "10.0.0.1",
            port: 80,
            failureDomain: "a",
            slots: slotsPerEndpoint,
            ready: true,
            reclaimable: false,
            startedAt: 5,
        }, {
            get: (endpoint, property: keyof Endpoint) => {
                reads++;
                return endpoint[property];
            },
        })
    );
    return { endpoints, reads: () => reads };
}

/**
 * Returns how often properties of endpoints are read for one sync, on average over three sync intervals. The interval before
 * them is not counted, since the leader decides more often until it knows how many ingresses there are.
 */
function readsPerSync(ingresses: number, overrides: Partial<SyncRequest> = {}): number {
    const clock = new ManualClock(100_000);
    const coordinator = new FleetCoordinator(clock, 5_000);
    const { endpoints, reads } = countingEndpoints(ingresses * endpointsPerIngress);
    coordinator.updateEndpointList(endpoints, clock.now(), 1);
    const intervalMs = syncIntervalMs(ingresses);
    const random = new SeededRandom(1);
    let before = 0;
    const syncs = ingresses * 3;
    for (let i = 0; i < ingresses + syncs; i++) {
        before = i === ingresses ? reads() : before;
        clock.advanceTo(clock.now() + intervalMs / ingresses);
        const slotMs = endpointsPerIngress * slotsPerEndpoint * 1.3 * intervalMs;
        coordinator.sync(parsedSync(`i${i % ingresses}`, {
            wallMs: clock.now(),
            elapsedMs: intervalMs,
            room: { overMs: intervalMs, services: { [service]: [[1, "w", slotMs, 0, 0, 0]] } },
            paces: { [`e${random.nextInt(endpoints.length)}`]: [2, 3] },
            ...overrides,
        }));
    }
    return (reads() - before) / syncs;
}

describe("Cost of a sync at the leader", () => {
    // Guards against a leader that looks at all 7,400 endpoints for each of 200 syncs a second: a third of a core.
    it("looks at no more endpoints for a sync in a fleet of eight times the size", () => {
        const [smaller, larger] = [200, 1_600].map(ingresses => readsPerSync(ingresses)) as [number, number];
        expect(larger / smaller).to.be.below(1.25);
    });

    // Guards against reports that all ingresses repeat, each at the cost of a look at all endpoints.
    for (
        const [title, overrides] of [
            ["endpoints leave", {
                leaving: [{ id: "e3", startedAt: 5 }, { id: "e4", startedAt: 4 }, { id: "gone", startedAt: 5 }],
            }],
            ["an endpoint names a limit", { limits: { e3: { perSecond: 2, startedAt: 5, ageMs: 50 } } }],
        ] as const satisfies [string, Partial<SyncRequest>][]
    ) {
        it(`looks at no more endpoints for a sync in a fleet of eight times the size while ${title}`, () => {
            const [smaller, larger] = [200, 1_600].map(count => readsPerSync(count, overrides)) as [number, number];
            expect(larger / smaller).to.be.below(1.25);
        });
    }

    // Guards against a list of 1,600 names that is built for each sync although a decision is due each 400 syncs.
    it("asks for the names of the ingresses once in a decision", () => {
        const callsPerInterval = (ingresses: number): number => {
            const room = new FleetRoom(undefined);
            const intervalMs = syncIntervalMs(ingresses);
            const live = new Set([...Array(ingresses).keys()].map(i => `i${i}`));
            let calls = 0;
            let now = 0;
            for (let i = 0; i < ingresses * 4; i++) {
                now += intervalMs / ingresses;
                room.record(parsedSync(`i${i % ingresses}`));
                room.levels(now, () => ({
                    live: () => {
                        calls++;
                        return live;
                    },
                    intervalMs,
                    capacityOf: () => ({ slots: 100, slowdown: 1, tokensPerMs: undefined }),
                }));
            }
            return calls / 4;
        };
        expect(callsPerInterval(1_600) / callsPerInterval(200)).to.be.below(1.25);
    });
});

describe("Bytes of admission and estimates in a sync", () => {
    /** Returns the bytes of the levels and factors in the last answer to ingresses that all report the most that they can. */
    function answerBytes(ingresses: number): number {
        const clock = new ManualClock(100_000);
        const coordinator = new FleetCoordinator(clock, 5_000);
        const { endpoints } = countingEndpoints(ingresses * endpointsPerIngress);
        coordinator.updateEndpointList(endpoints, clock.now(), 1);
        const intervalMs = syncIntervalMs(ingresses);
        const random = new SeededRandom(2);
        let bytes = 0;
        for (let i = 0; i < ingresses * 4; i++) {
            clock.advanceTo(clock.now() + intervalMs / ingresses);
            const slotMs = endpointsPerIngress * slotsPerEndpoint * 2 * intervalMs / 32;
            const rows = Array.from({ length: 32 }, (): WorkRow => [
                random.nextInt(3),
                `w${random.nextInt(500)}`,
                Math.round(slotMs * 2 * random.next()),
                0,
                0,
                0,
            ]);
            const { room, paces } = coordinator.sync(parsedSync(`i${i % ingresses}`, {
                wallMs: clock.now(),
                room: { overMs: intervalMs, services: { [service]: rows } },
                paces: Object.fromEntries(
                    Array.from({ length: 24 }, () => [`e${random.nextInt(endpoints.length)}`, [3, 3]]),
                ),
            }));
            bytes = JSON.stringify({ room, paces }).length;
        }
        return bytes;
    }

    // Guards against answers that grow with the fleet: the time between syncs grows with it, so that a node has 3 KB a second.
    it("answers with no more bytes in a fleet of eight times the size", () => {
        const [smaller, larger] = [200, 1_600].map(answerBytes) as [number, number];
        expect(smaller).to.be.above(1_000);
        expect(larger / smaller).to.be.below(1.1);
    });

    it("reports no more bytes for ten times as many requests of ten times as many workspaces", () => {
        const bytes = (requests: number, workspaces: number): number => {
            const ledger = new RoomLedger(0, () => true);
            for (let i = 0; i < requests; i++) {
                const owner = { service, rank: i % 3, workspace: `w${i % workspaces}` };
                ledger.recordArrival(owner, { slotMs: 400, promptTokens: 100 });
                ledger.recordServed(owner, 400, 400);
            }
            return JSON.stringify(ledger.takeReport(8_000)).length;
        };
        expect(bytes(2_400, 400) / bytes(240, 40)).to.be.below(1.25);
    });
});

describe("FleetFactors", () => {
    // Guards against factors of 7,400 endpoints that are computed ten times a second: 1.5% of a core.
    it("computes the factors no more often than in 0.1 ms for each listed endpoint, and than in 100 ms", () => {
        const delayMs = (listed: number): number => {
            const factors = new FleetFactors();
            factors.retain([...Array(listed).keys()].map(i => ({ id: `e${i}` })));
            expect(factors.current(0)).to.equal(undefined);
            factors.record({ e1: [4, 16] }, 0);
            return [...Array(1_000).keys()].find(now => factors.current(now) !== undefined) ?? Infinity;
        };
        expect([1, 64, 2_000, 8_000].map(delayMs)).to.deep.equal([100, 100, 200, 800]);
    });
});

describe("FleetRoom with many ingresses", () => {
    const intervalMs = 256;
    const capacity: ServiceCapacity = { slots: 40, slowdown: 1, tokensPerMs: undefined };

    /** Applies the reports of each interval, by ingress, and returns the levels after each of them. */
    function levelsAfter(intervals: readonly Readonly<Record<string, readonly WorkRow[]>>[]): AdmissionLevels[] {
        const room = new FleetRoom(undefined);
        return intervals.map((reports, i) => {
            const names = Object.keys(reports);
            for (const name of names) {
                const services = { [service]: [...reports[name] ?? []] };
                room.record(parsedSync(name, { room: { overMs: intervalMs, services } }));
            }
            return room.levels(i * intervalMs, () => ({
                live: () => new Set(names),
                intervalMs,
                capacityOf: () => capacity,
            }));
        });
    }

    // Guards against work that is counted twice, kept after it has ended, or added to that of another workspace.
    it("decides as on the sums of the reports, while workspaces and ingresses come and go", () => {
        const random = new SeededRandom(5);
        const intervals = Array.from({ length: 60 }, () => {
            const names = [...Array(12).keys()].filter(() => random.next() < 0.8).map(i => `i${i}`);
            return Object.fromEntries(names.map(name => [
                name,
                // Whole numbers over a power of two, so that sums do not depend on their order.
                Array.from({ length: random.nextInt(6) }, (): WorkRow => {
                    const slotMs = random.nextInt(1_500);
                    return [random.nextInt(3), `w${random.nextInt(5)}`, slotMs, 0, slotMs, slotMs];
                }),
            ]));
        });
        const summed = intervals.map(reports => {
            const sums = new Map<string, WorkRow>();
            for (const [rank, workspace, ...amounts] of Object.values(reports).flat()) {
                const known = sums.get(`${rank} ${workspace}`) ?? [rank, workspace, 0, 0, 0, 0];
                const [, , a, b, c, d] = known;
                const [slotMs, tokens, servedMs, occupiedMs] = amounts;
                sums.set(`${rank} ${workspace}`, [
                    rank,
                    workspace,
                    a + slotMs,
                    b + tokens,
                    c + servedMs,
                    d + occupiedMs,
                ]);
            }
            return { whole: [...sums.values()] };
        });
        const levels = levelsAfter(intervals);
        expect(levels).to.deep.equal(levelsAfter(summed));
        expect(levels.filter(level => Object.keys(level).length > 0).length).to.be.above(10);
    });
});
