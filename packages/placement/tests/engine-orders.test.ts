import { DailyShapeForecast, LinearCapacity, ProportionalRoles } from "@lentilramp/placement";
import { expect } from "chai";
import fc from "fast-check";
import { demandOf, domains, instanceOf, plannerOf, prices, TestLease } from "./fixtures.ts";

const bytesPerSecond = 1e9;
const models = [
    { name: "small", bytes: 4e9, share: 0, adapters: [{ name: "quotes", bytes: 1e9 }] },
    { name: "large", bytes: 40e9, share: 1, version: "v2", adapters: [] },
];

function liveFleet(perDomain: number) {
    return domains.flatMap(failureDomain =>
        Array.from(Array(perDomain).keys(), i => instanceOf(`${failureDomain}${i}`, { failureDomain, lastSeenAt: 0 }))
    );
}

describe("orders to engines", () => {
    it("does not order concurrent transfers that exceed the rate of the weight store", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 100, max: 20_000 }), { minLength: 20, maxLength: 80 }), steps => {
                const planner = plannerOf({ weightStoreBytesPerSecond: bytesPerSecond, silenceMs: 1e9 });
                let now = 0;
                let busyUntil = 0;
                for (const step of steps) {
                    now += step;
                    const instances = liveFleet(2);
                    const loads = planner.plan(demandOf(50, { models }), prices, { instances, pendingOrders: [] }, now)
                        .flatMap(order => order.kind.startsWith("load") && "bytes" in order ? [order] : []);
                    for (const load of loads) {
                        expect(now).to.be.at.least(busyUntil);
                        busyUntil = now + load.bytes / bytesPerSecond * 1_000;
                    }
                }
                expect(busyUntil).to.be.above(0);
            }),
            { seed: 21, numRuns: 50 },
        );
    });

    it("does not start a transfer while a transfer ordered by the previous lease holder still runs", () => {
        const lease = new TestLease();
        const planner = plannerOf({ weightStoreBytesPerSecond: bytesPerSecond, silenceMs: 1e9 }, lease);
        const pendingOrders = [{ operationId: "earlier", bytes: 4e9 }];
        const loadsAt = (now: number) =>
            planner.plan(demandOf(50, { models }), prices, { instances: liveFleet(1), pendingOrders }, now)
                .filter(order => order.kind.startsWith("load")).length;
        expect([loadsAt(0), loadsAt(3_999), loadsAt(4_000)]).to.deep.equal([0, 0, 1]);
    });

    it("does not treat a load that an engine did not accept as in progress, nor repeat any other load", () => {
        const planner = plannerOf({ weightStoreBytesPerSecond: 1e12, silenceMs: 1e9 });
        const loadAt = (now: number) =>
            planner.plan(demandOf(50, { models }), prices, { instances: liveFleet(1), pendingOrders: [] }, now)
                .find(order => order.kind.startsWith("load"))?.operationId;
        const first = loadAt(0);
        expect(loadAt(1_000)).to.not.equal(first);
        planner.onOrderFailed(first ?? "");
        expect(loadAt(2_000)).to.equal(first);
    });

    it("does not leave a model, adapter or version missing in any failure domain", () => {
        const planner = plannerOf({ silenceMs: 1e12 });
        const instances = liveFleet(3);
        for (let now = 0; now < 100; now++) {
            for (
                const order of planner.plan(
                    demandOf(50, { models }),
                    prices,
                    { instances, pendingOrders: [] },
                    now * 1_000,
                )
            ) {
                const engine = instances.find(item => "instanceId" in order && item.id === order.instanceId);
                if (engine !== undefined && order.kind === "load-model") {
                    engine.models = [...engine.models, order.target];
                }
                else if (engine !== undefined && order.kind === "load-adapter") {
                    engine.adapters = [...engine.adapters, order.target];
                }
                else if (engine !== undefined && order.kind === "load-version") {
                    engine.version = order.target;
                }
            }
        }
        for (const domain of domains) {
            const members = instances.filter(item => item.failureDomain === domain);
            expect(members.filter(item => item.models.includes("large")).length).to.equal(3);
            expect(members.filter(item => item.models.includes("small") && item.adapters.includes("quotes")).length)
                .to.equal(1);
            expect(members.every(item => item.version === "v2")).to.equal(true);
        }
    });

    it("does not start instances long before the weight store can transfer weights to them", () => {
        const planner = plannerOf({ weightStoreBytesPerSecond: bytesPerSecond, startMs: 80_000 });
        const orders = planner.plan(demandOf(2_000, { models }), prices, { instances: [], pendingOrders: [] }, 0);
        expect(orders.filter(order => order.kind === "start")).to.have.length(3);
    });

    it("does not change the roles of more engines than the role shares require", () => {
        const roles = [{ role: "prefill", share: 0.25 }, { role: "decode", share: 0.75 }];
        const members = [0, 1, 2, 3].map(i => instanceOf(`i${i}`, { role: i < 3 ? "decode" : "any" }));
        const changes = new ProportionalRoles().roleOrders(roles, members, 1);
        expect(changes.map(order => [order.instanceId, order.target])).to.deep.equal([["i3", "prefill"]]);
    });

    it("forecasts the daily peak before it begins instead of following it", () => {
        const forecast = new DailyShapeForecast();
        const hourMs = 3_600_000;
        const slotsAt = (at: number) => at % (24 * hourMs) >= 9 * hourMs && at % (24 * hourMs) < 17 * hourMs ? 100 : 10;
        let now = 0;
        for (; now < 24 * hourMs + 8.5 * hourMs; now += 60_000) {
            forecast.observe(slotsAt(now), now);
        }
        expect(forecast.peakSlots(now, now + 15 * 60_000)).to.be.closeTo(10, 1);
        expect(forecast.peakSlots(now, now + 30 * 60_000)).to.be.closeTo(100, 5);
    });

    it("does not ignore the promised latency in the capacity of a machine class", () => {
        const model = new LinearCapacity({ fast: { baseMs: 20, perRequestMs: 1 } });
        expect([model.slots("fast", 71), model.slots("fast", 10), model.slots("other", 71)]).to.deep.equal([51, 0, 0]);
    });
});
