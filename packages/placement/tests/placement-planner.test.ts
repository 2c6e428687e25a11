import type { FleetInstance, PlacementPlanner } from "@lentilramp/placement";
import { expect } from "chai";
import fc from "fast-check";
import { demandOf, domains, instanceOf, plannerOf, prices, TestFleet, TestLease } from "./fixtures.ts";

const stepMs = 30_000;

function runSteps(planner: PlacementPlanner, fleet: TestFleet, slots: number, from: number, steps: number): number {
    let now = from;
    for (let i = 0; i < steps; i++, now += stepMs) {
        fleet.apply(planner.plan(demandOf(slots), prices, fleet.view(now), now), now);
        fleet.startsOfGoneInstances.splice(0).forEach(id => planner.onStartedInstanceGone(id));
    }
    return now;
}

describe("placement planner", () => {
    it("does not leave too little capacity for the demand when any one failure domain is lost", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 600 }),
                fc.double({ min: 0, max: 1, noNaN: true }),
                (slots, costWeight) => {
                    const fleet = new TestFleet();
                    runSteps(plannerOf({ costWeight }), fleet, slots, 0, 8);
                    for (const domain of domains) {
                        expect(fleet.servingSlotsOutside(domain)).to.be.at.least(slots);
                    }
                },
            ),
            { seed: 11, numRuns: 100 },
        );
    });

    it("does not give orders after its lease has expired or with an old fencing number", () => {
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

    // A different operation id for the same intent would start a second instance.
    it("does not change operation ids when the lease holder is lost between an order and its result", () => {
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

    it("does not wait for an instance that the cloud API returned for a repeated start but that is already gone", () => {
        const planner = plannerOf();
        const plan = () =>
            planner.plan(demandOf(10), prices, { instances: [], pendingOrders: [] }, 0).map(o => o.operationId);
        const first = plan();
        planner.onStartedInstanceGone(first[0] ?? "");
        const second = plan();
        expect(second).to.not.include(first[0]);
        expect(second.slice(1)).to.deep.equal(first.slice(1));
    });

    it("does not alternate starts and stops when demand and prices fluctuate faster than the hold time", () => {
        const lowFactor = fc.double({ min: 0.5, max: 0.99, noNaN: true });
        fc.assert(
            fc.property(fc.array(lowFactor, { minLength: 12, maxLength: 12 }), lowFactors => {
                const fleet = new TestFleet();
                const planner = plannerOf({ costWeight: 0.8 });
                let now = runSteps(planner, fleet, 111, 0, 60);
                const before = fleet.starts;
                // Demand is for 15 min above and for 5 min below the level at which each domain needs another instance.
                const factors = lowFactors.flatMap(
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

    const lossSignals: { name: string; change: Partial<FleetInstance>; notice?: boolean; }[] = [
        { name: "the instance list shows it as leaving", change: { state: "leaving" } },
        { name: "it stopped responding", change: { lastSeenAt: 0 } },
        { name: "it got a reclaim notice", change: {}, notice: true },
    ];
    for (const { name, change, notice } of lossSignals) {
        it(`drains and replaces an instance before it is gone when ${name}`, () => {
            const fleet = new TestFleet();
            const planner = plannerOf();
            const now = runSteps(planner, fleet, 100, 0, 8);
            const view = fleet.view(now);
            const lostInstance = view.instances[0] ?? instanceOf("none");
            const instances = view.instances.map(item => item === lostInstance ? { ...item, ...change } : item);
            if (notice === true) {
                planner.onReclaimNotice(lostInstance.id);
            }
            const orders = planner.plan(demandOf(100), prices, { ...view, instances }, now);
            expect(orders.flatMap(order => order.kind === "drain" ? [order.instanceId] : []))
                .to.deep.equal([lostInstance.id]);
            expect(orders.flatMap(order => order.kind === "start" ? [order.failureDomain] : []))
                .to.deep.equal([lostInstance.failureDomain]);
        });
    }

    it("does not start reclaimable instances during a reclaim wave, nor keep on-demand ones after the hold time", () => {
        const fleet = new TestFleet();
        const planner = plannerOf({ costWeight: 1 });
        let now = runSteps(planner, fleet, 100, 0, 8);
        fleet.instances.forEach(item => item.state = item.failureDomain === "b" ? "leaving" : item.state);
        const orders = planner.plan(demandOf(100), prices, fleet.view(now), now);
        const markets = orders.flatMap(order =>
            order.kind === "start" ? [`${order.failureDomain} ${order.market}`] : []
        );
        expect(new Set(markets)).to.deep.equal(new Set(["b on-demand"]));
        fleet.apply(orders, now);
        fleet.instances = fleet.instances.filter(item => item.state !== "leaving");
        now = runSteps(planner, fleet, 100, now, 50);
        expect(fleet.instances.filter(item => item.market === "on-demand")).to.not.be.empty;
        runSteps(planner, fleet, 100, now, 120);
        expect(fleet.instances.filter(item => item.market === "on-demand")).to.be.empty;
    });

    it("does not leave a failure domain without capacity when reclaimable starts are refused there", () => {
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
        const membersOfC = fleet.instances.filter(item => item.failureDomain === "c");
        expect(membersOfC.length).to.be.above(0);
        expect(attempts).to.equal(2);
        expect(membersOfC.every(item => item.market === "on-demand")).to.equal(true);
    });

    it("does not release the previous lease holder's instances before it has observed demand for the hold time", () => {
        const instances = [0, 1, 2, 3].map(i => instanceOf(`x${i}`));
        const planner = plannerOf({ costWeight: 1 });
        const drains = (now: number) =>
            planner.plan(demandOf(1), prices, { instances, pendingOrders: [] }, now).filter(order =>
                order.kind === "drain"
            );
        expect([drains(0), drains(1_199_999)]).to.deep.equal([[], []]);
        expect(drains(1_200_000)).to.have.length(1);
    });

    // An early stop cuts requests; a draining instance that is never stopped causes cost without use.
    it("does not stop a drained instance while it serves or may get requests, nor keep it past the drain time", () => {
        const stops = (inFlight: number, now: number, planner = plannerOf()) => {
            const instances = [instanceOf("x", { draining: true, inFlight })];
            planner.plan(demandOf(1), prices, { instances, pendingOrders: [] }, 0);
            return planner.plan(demandOf(1), prices, { instances, pendingOrders: [] }, now)
                .filter(order => order.kind === "stop").length;
        };
        expect([stops(0, 4_999), stops(0, 5_000), stops(2, 5_000), stops(2, 600_000)]).to.deep.equal([0, 1, 0, 1]);
    });
});
