import type { FleetInstance, PlacementPlanner } from "@lentilramp/placement";
import { expect } from "chai";
import fc from "fast-check";
import { demandOf, domains, instanceOf, plannerOf, prices, TestFleet, TestLease } from "./fixtures.ts";

const stepMs = 30_000;

function settle(planner: PlacementPlanner, fleet: TestFleet, slots: number, from: number, steps: number): number {
    let now = from;
    for (let i = 0; i < steps; i++, now += stepMs) {
        fleet.apply(planner.plan(demandOf(slots), prices, fleet.view(now), now), now);
        fleet.spent.splice(0).forEach(id => planner.onStartedInstanceGone(id));
    }
    return now;
}

describe("placement planner", () => {
    // Guards against a fleet that breaks the latency promise when any one failure domain is lost.
    it("carries the demand after the loss of any failure domain", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 600 }),
                fc.double({ min: 0, max: 1, noNaN: true }),
                (slots, costWeight) => {
                    const fleet = new TestFleet();
                    settle(plannerOf({ costWeight }), fleet, slots, 0, 8);
                    for (const domain of domains) {
                        expect(fleet.slotsOutside(domain)).to.be.at.least(slots);
                    }
                },
            ),
            { seed: 11, numRuns: 100 },
        );
    });

    // Guards against orders of a process whose lease has ended, and against an old fencing number.
    it("gives no order without a valid lease and always the number of the lease", () => {
        const lease = new TestLease();
        const planner = plannerOf({}, lease);
        fc.assert(
            fc.property(fc.option(fc.integer({ min: 1, max: 9 }), { nil: undefined }), fencing => {
                lease.fencing = fencing;
                const orders = planner.plan(demandOf(100), prices, { instances: [], pendingOrders: [] }, 0);
                expect(orders.length > 0).to.equal(fencing !== undefined);
                expect(orders.every(order => order.fencing === fencing)).to.equal(true);
            }),
            { seed: 12, numRuns: 50 },
        );
    });

    // Guards against a second instance for the same intention when a holder is lost between order and result.
    it("gives the same operation ids as its predecessor for the same fleet, in any order of the list", () => {
        const idsOf = (instances: FleetInstance[], fencing: number) => {
            const lease = new TestLease();
            lease.fencing = fencing;
            return plannerOf({}, lease).plan(demandOf(200), prices, { instances, pendingOrders: [] }, 0)
                .map(order => order.operationId);
        };
        const instances = ["x", "y", "z"].map(id => instanceOf(id));
        const first = idsOf(instances, 1);
        expect(first).to.not.be.empty;
        expect(new Set(first).size).to.equal(first.length);
        expect(idsOf([...instances].reverse(), 2)).to.deep.equal(first);
    });

    // Guards against a planner that waits for an instance that the cloud answered for but that is already gone.
    it("uses a new operation id when the instance of the old one is gone", () => {
        const planner = plannerOf();
        const plan = () =>
            planner.plan(demandOf(10), prices, { instances: [], pendingOrders: [] }, 0).map(o => o.operationId);
        const first = plan();
        planner.onStartedInstanceGone(first[0] ?? "");
        const second = plan();
        expect(second).to.not.include(first[0]);
        expect(second.slice(1)).to.deep.equal(first.slice(1));
    });

    // Guards against starts and stops that alternate when the demand swings faster than the hold time.
    it("does not oscillate under fluctuating demand and prices", () => {
        const low = fc.double({ min: 0.5, max: 0.99, noNaN: true });
        fc.assert(
            fc.property(fc.array(low, { minLength: 12, maxLength: 12 }), lows => {
                const fleet = new TestFleet();
                const planner = plannerOf({ costWeight: 0.8 });
                let now = settle(planner, fleet, 111, 0, 60);
                const before = fleet.starts;
                // 15 min above and 5 min below the demand at which each failure domain needs another instance.
                const factors = lows.flatMap(
                    value => [...new Array<number>(30).fill(1.25), ...new Array<number>(10).fill(value)],
                );
                for (const factor of factors) {
                    const changed = prices.map(price => ({ ...price, pricePerHour: price.pricePerHour * factor }));
                    fleet.apply(planner.plan(demandOf(111 * factor), changed, fleet.view(now), now), now);
                    now += stepMs;
                }
                expect([fleet.starts - before, fleet.stops]).to.deep.equal([3, 0]);
            }),
            { seed: 13, numRuns: 20 },
        );
    });

    const losses: { name: string; change: Partial<FleetInstance>; notice?: boolean; }[] = [
        { name: "a leaving mark in the list", change: { state: "leaving" } },
        { name: "silence", change: { lastSeenAt: 0 } },
        { name: "a reclaim notice", change: {}, notice: true },
    ];
    for (const { name, change, notice } of losses) {
        // Guards against a signal of loss that is ignored until the instance is gone.
        it(`drains and replaces at once after ${name}`, () => {
            const fleet = new TestFleet();
            const planner = plannerOf();
            const now = settle(planner, fleet, 100, 0, 8);
            const view = fleet.view(now);
            const victim = view.instances[0] ?? instanceOf("none");
            const instances = view.instances.map(item => item === victim ? { ...item, ...change } : item);
            if (notice === true) {
                planner.onReclaimNotice(victim.id);
            }
            const orders = planner.plan(demandOf(100), prices, { ...view, instances }, now);
            expect(orders.flatMap(order => order.kind === "drain" ? [order.instanceId] : []))
                .to.deep.equal([victim.id]);
            expect(orders.flatMap(order => order.kind === "start" ? [order.failureDomain] : []))
                .to.deep.equal([victim.failureDomain]);
        });
    }

    // Guards against starting reclaimable instances in a wave, and against never returning to the cheap mix.
    it("falls back to on demand in a wave and returns after the hold time", () => {
        const fleet = new TestFleet();
        const planner = plannerOf({ costWeight: 1 });
        let now = settle(planner, fleet, 100, 0, 8);
        fleet.instances.forEach(item => item.state = item.failureDomain === "b" ? "leaving" : item.state);
        const orders = planner.plan(demandOf(100), prices, fleet.view(now), now);
        const markets = orders.flatMap(order =>
            order.kind === "start" ? [`${order.failureDomain} ${order.market}`] : []
        );
        expect(new Set(markets)).to.deep.equal(new Set(["b on-demand"]));
        fleet.apply(orders, now);
        fleet.instances = fleet.instances.filter(item => item.state !== "leaving");
        now = settle(planner, fleet, 100, now, 50);
        expect(fleet.instances.filter(item => item.market === "on-demand")).to.not.be.empty;
        settle(planner, fleet, 100, now, 120);
        expect(fleet.instances.filter(item => item.market === "on-demand")).to.be.empty;
    });

    // Guards against a failure domain that stays without capacity because reclaimable starts are refused there.
    it("starts on demand while reclaimable starts are refused", () => {
        const fleet = new TestFleet();
        const planner = plannerOf({ costWeight: 1 });
        let attempts = 0;
        for (let now = 0; now < 20 * stepMs; now += stepMs) {
            const orders = planner.plan(demandOf(100), prices, fleet.view(now), now);
            const refused = fleet.apply(
                orders,
                now,
                o => o.kind === "start" && o.failureDomain === "c" && o.market === "reclaimable",
            );
            refused.forEach(() => planner.onStartRefused("c", "reclaimable", now));
            attempts += refused.length;
        }
        const inC = fleet.instances.filter(item => item.failureDomain === "c");
        expect(inC.length).to.be.above(0);
        expect(attempts).to.equal(2);
        expect(inC.every(item => item.market === "on-demand")).to.equal(true);
    });

    // Guards against a new holder that gives up instances because it has not seen the demand for them.
    it("keeps the instances of its predecessor for the hold time", () => {
        const instances = [0, 1, 2, 3].map(i => instanceOf(`x${i}`));
        const planner = plannerOf({ costWeight: 1 });
        const drains = (now: number) =>
            planner.plan(demandOf(1), prices, { instances, pendingOrders: [] }, now).filter(order =>
                order.kind === "drain"
            );
        expect([drains(0), drains(1_199_999)]).to.deep.equal([[], []]);
        expect(drains(1_200_000)).to.have.length(1);
    });

    // Guards against a surplus instance that is stopped while it serves or may still get work, or that is kept for ever.
    it("stops a drained instance when its work has ended or the drain time has passed", () => {
        const stops = (inFlight: number, now: number, planner = plannerOf()) => {
            const instances = [instanceOf("x", { draining: true, inFlight })];
            planner.plan(demandOf(1), prices, { instances, pendingOrders: [] }, 0);
            return planner.plan(demandOf(1), prices, { instances, pendingOrders: [] }, now)
                .filter(order => order.kind === "stop").length;
        };
        expect([stops(0, 4_999), stops(0, 5_000), stops(2, 5_000), stops(2, 600_000)]).to.deep.equal([0, 1, 0, 1]);
    });
});
