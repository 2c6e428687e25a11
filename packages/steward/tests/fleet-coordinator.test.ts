import { syncRequest } from "@lentilramp/bench";
import { takeUpGraceMs } from "@lentilramp/fleet";
import type { WorkRow } from "@lentilramp/room";
import { ManualClock } from "@lentilramp/runtime";
import { FleetCoordinator } from "@lentilramp/steward";
import { expect } from "chai";

const endpoint = {
    id: "e",
    service: "app",
    host: "10.0.0.1",
    port: 80,
    failureDomain: "a",
    slots: 4,
    ready: true,
    reclaimable: false,
    startedAt: 5,
};

describe("FleetCoordinator", () => {
    const wants = (wanted: number) => ({ permits: { e: { wanted, held: 0 } } });
    const names = (ageMs: number, startedAt = 5) => ({ limits: { e: { perSecond: 2, startedAt, ageMs } } });

    function start(): { clock: ManualClock; coordinator: FleetCoordinator; } {
        const clock = new ManualClock(10_000);
        const coordinator = new FleetCoordinator(clock, 5_000);
        coordinator.updateEndpointList([endpoint], 10_000, 1);
        return { clock, coordinator };
    }

    // Guards against a slow endpoint that each ingress has to find by late answers of its own.
    it("tells every ingress how slow an endpoint is for the others, until it is no longer listed", () => {
        const { clock, coordinator } = start();
        expect(coordinator.sync(syncRequest("a")).paces).to.equal(undefined);
        ["a", "b", "c"].forEach(name => coordinator.sync(syncRequest(name, { paces: { e: [3, 6] } })));
        clock.advanceTo(10_150);
        expect(coordinator.sync(syncRequest("d")).paces?.e).to.be.within(2, 3);
        coordinator.updateEndpointList([{ ...endpoint, id: "f" }], 10_150, 2);
        clock.advanceTo(10_300);
        expect(coordinator.sync(syncRequest("d")).paces).to.equal(undefined);
    });

    // Guards against a limit that only the ingress knows that got the answer.
    it("tells every ingress the limits that others heard, and grants permits within them", () => {
        const { clock, coordinator } = start();
        coordinator.sync(syncRequest("a", names(50)));
        clock.advanceTo(10_100);
        expect(coordinator.sync(syncRequest("b")).limits).to.deep.equal({
            e: { perSecond: 2, startedAt: 5, ageMs: 150 },
        });
        let granted = 0;
        for (let now = 10_200; now < 20_000; now += 100) {
            clock.advanceTo(now);
            granted += coordinator.sync(syncRequest(now % 200 === 0 ? "a" : "b", wants(9))).permits?.e ?? 0;
        }
        expect(granted).to.be.within(17, 23);
    });

    // Guards against an endpoint that is kept from work after a restart, because an ingress still reports that it left.
    it("tells every ingress which endpoints leave, in the lifetime that they announced it", () => {
        const { coordinator } = start();
        expect(coordinator.sync(syncRequest("a", { leaving: [{ id: "e", startedAt: 4 }] })).leaving).to.deep.equal([]);
        coordinator.sync(syncRequest("a", { leaving: [{ id: "e", startedAt: 5 }] }));
        expect(coordinator.sync(syncRequest("b")).leaving).to.deep.equal([{ id: "e", startedAt: 5 }]);
        coordinator.updateEndpointList([{ ...endpoint, startedAt: 6 }], 11_000, 2);
        expect(coordinator.sync(syncRequest("b")).leaving).to.deep.equal([]);
    });

    // Guards against a repeated report that is ignored although a newer list has made it apply.
    it("takes a report of a lifetime that leaves again when the list shows that lifetime", () => {
        const { coordinator } = start();
        const leaving = [{ id: "e", startedAt: 6 }];
        expect(coordinator.sync(syncRequest("a", { leaving })).leaving).to.deep.equal([]);
        coordinator.updateEndpointList([{ ...endpoint, startedAt: 6 }], 11_000, 2);
        expect(coordinator.sync(syncRequest("a", { leaving })).leaving).to.deep.equal(leaving);
        expect(coordinator.readyEndpoints(endpoint.service)).to.deep.equal([]);
    });

    // Guards against syncs that grow with every endpoint that leaves, although the list tells the same.
    it("stops to tell that an endpoint leaves once the list shows it", () => {
        const { coordinator } = start();
        coordinator.sync(syncRequest("a", { leaving: [{ id: "e", startedAt: 5 }] }));
        coordinator.updateEndpointList([{ ...endpoint, ready: false }], 11_000, 2);
        expect(coordinator.sync(syncRequest("b")).leaving).to.deep.equal([]);
    });

    // Guards against a limit of an earlier lifetime that a slow ingress still reports, and against permits without a limit.
    it("ignores limits of other lifetimes of an endpoint and forgets them when it restarts", () => {
        const { clock, coordinator } = start();
        expect(coordinator.sync(syncRequest("a", { ...names(50, 4), ...wants(3) })).permits).to.deep.equal({ e: 0 });
        expect(coordinator.sync(syncRequest("a", names(50))).limits).to.have.property("e");
        clock.advanceTo(11_000);
        coordinator.updateEndpointList([{ ...endpoint, startedAt: 6 }], 11_000, 2);
        expect(coordinator.sync(syncRequest("b")).limits).to.deep.equal({});
    });

    // Guards against usage that is lost for all because one ingress started with a clock that is far ahead.
    it("leaves out usage windows that lie ahead of the fleet's time, and keeps those of the others", () => {
        const { coordinator } = start();
        const wallMs = 1_733_375_000_000;
        const window = Math.floor(wallMs / 5_000);
        for (const name of ["a", "b", "c"]) {
            coordinator.sync(syncRequest(name, { wallMs, usage: { [window]: { w: 2 }, [window - 1]: { w: 1 } } }));
        }
        for (const odd of [window + 2, 2 ** 53, 1e300, -1e300, "x"]) {
            coordinator.sync(syncRequest("d", { wallMs: 8.64e15, usage: { [odd]: { w: 5 }, [window]: { w: 1 } } }));
            expect(coordinator.usageWindows.total(window), String(odd)).to.deep.equal({ w: 7 });
            expect(coordinator.usageWindows.total(window - 1), String(odd)).to.deep.equal({ w: 3 });
            expect(coordinator.usageWindows.total(Number(odd)), String(odd)).to.deep.equal({});
        }
        expect(Object.keys(coordinator.usageWindows.recentCounts())).to.have.members(["a", "b", "c", "d"]);
    });

    const origins = { app: { v1: ["a1"] } };

    // Guards against streams whose origin is lost with the leader, or with their ingress.
    it("knows the origins that ingresses have reported, and those that it has copied from another leader", () => {
        const { clock, coordinator } = start();
        coordinator.sync(syncRequest("a", { origins }));
        const { reports, lives } = coordinator.origins.reportsFrom(0, 10, clock.now());
        const next = start().coordinator;
        next.mergeOrigins(reports, lives);
        for (const known of [coordinator, next]) {
            expect(known.origins.find("a1", clock.now())?.origin).to.deep.equal({ service: "app", version: "v1" });
        }
        expect(next.collection).to.not.equal(coordinator.collection);
    });

    // Guards against the streams of ingresses of an earlier version, which report no lives.
    it("keeps an origin without a life for as long as the routes of its service allow, and a grace time", () => {
        const { clock, coordinator } = start();
        coordinator.versions = { since: 0, services: { app: { listed: ["v1"], left: {}, lifeMs: 60_000 } } };
        coordinator.sync(
            syncRequest("a", { origins: { app: { v1: ["a1", "a2"] } }, originLives: { app: { v1: [300] } } }),
        );
        const reportedAt = clock.now();
        expect(coordinator.origins.find("a1", reportedAt + 299_999)).to.not.equal(undefined);
        expect(coordinator.origins.find("a2", reportedAt + 60_000 + takeUpGraceMs - 1)).to.not.equal(undefined);
        expect(coordinator.origins.find("a2", reportedAt + 60_000 + takeUpGraceMs)).to.equal(undefined);
    });

    it("tells which services have a single version while its list is new, and only when they change", () => {
        const { clock, coordinator } = start();
        const wallMs = 1_733_375_000_000;
        expect(coordinator.sync(syncRequest("a", { wallMs })).singleVersion).to.deep.equal([]);
        coordinator.versions = { since: 0, services: { app: { listed: ["v1"], left: {} } } };
        coordinator.updateEndpointList([endpoint], clock.now(), 2);
        const { singleVersion, singleVersions, singleVersionTag } = coordinator.sync(syncRequest("a", { wallMs }));
        expect(singleVersion).to.deep.equal(["app"]);
        expect(singleVersions).to.deep.equal({ app: "v1" });
        expect(coordinator.sync(syncRequest("a", { wallMs, singleVersionTag })).singleVersion).to.equal(undefined);
        coordinator.versions = { since: 0, services: { app: { listed: ["v2"], left: {} } } };
        expect(coordinator.sync(syncRequest("a", { wallMs, singleVersionTag })).singleVersions).to.deep.equal({
            app: "v2",
        });
        clock.advanceTo(clock.now() + 2_001);
        expect(coordinator.singleVersions()).to.deep.equal({});
    });

    // Guards against levels that rest on endpoints that are not ready, and against syncs that decide each time.
    it("sums the work of the ingresses, and tells the level when it exceeds the slots of the ready endpoints", () => {
        const { clock, coordinator } = start();
        coordinator.updateEndpointList(
            [endpoint, { ...endpoint, id: "gone", ready: false }, { ...endpoint, id: "other", service: "b" }],
            10_001,
            2,
        );
        const report = (rank: number, slots: number) => ({
            room: { overMs: 250, services: { app: [[rank, "w", slots * 250, 0, 0, 0] as WorkRow] } },
        });
        const levels: unknown[] = [];
        for (let now = 10_250; now <= 11_250; now += 250) {
            clock.advanceTo(now);
            levels.push(coordinator.sync(syncRequest("a", report(0, 2))).room);
            levels.push(coordinator.sync(syncRequest("b", report(1, 4))).room);
        }
        expect(levels[0]).to.deep.equal({});
        // Four slots: two for rank 0, and half of what rank 1 asks for.
        expect(levels.at(-1)).to.deep.equal({ app: { ranks: [[1, 0.5]], workspaces: [], clearMs: 500 } });
        // An ingress that is no longer in contact does not count.
        for (let now = 11_500; now <= 14_000; now += 250) {
            clock.advanceTo(now);
            levels.push(coordinator.sync(syncRequest("a", report(0, 2))).room);
        }
        expect(levels.at(-1)).to.deep.equal({});
    });

    // Guards against a fleet of the earlier software version that gets levels it has no use for.
    it("decides on no level for services of which no ingress reports work by rank", () => {
        const { clock, coordinator } = start();
        const demand = { app: { unreadTokens: 0, promptTokens: 0, placeMs: 1e6 } };
        for (let now = 10_250; now <= 12_000; now += 250) {
            clock.advanceTo(now);
            expect(coordinator.sync(syncRequest("a", { demand, elapsedMs: 250 })).room).to.deep.equal({});
        }
    });
});
