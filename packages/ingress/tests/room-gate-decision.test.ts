import { Dispatcher, EndpointHealth, LoadTracker, ServiceModel } from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import { ManualClock, MemoryMetrics, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { testWorkspace } from "../../catalog/tests/fixtures.ts";
import { RoomGate } from "../src/room-gate.ts";

/** Counts how often the load of an endpoint is looked up. */
class CountingLoads extends LoadTracker {
    lookUps = 0;

    override load(...args: Parameters<LoadTracker["load"]>): ReturnType<LoadTracker["load"]> {
        this.lookUps++;
        return super.load(...args);
    }
}

/** A gate of a service whose endpoints have four slots, all of them taken, under a level that admits `share`. */
function gateUnderLevel(share: number, endpointCount = 1) {
    const clock = new ManualClock(1_000);
    const loads = new CountingLoads();
    const endpoints = [...Array(endpointCount).keys()].map(i =>
        ({ id: `e${i + 1}`, failureDomain: "a", slots: 4 }) as Endpoint
    );
    loads.applyPeerLoad("peer", endpoints.map(({ id }) => [id, { running: 4, unreadTokens: 0 }]), true);
    const metrics = new MemoryMetrics();
    const model = new ServiceModel();
    let refundedUnits = 0;
    const gate = new RoomGate(
        {
            view: {
                memberCount: 1,
                caps: { refund: (...[, units]) => refundedUnits += units },
                endpoints: { readyEndpoints: () => endpoints },
                loads,
            },
            clock,
            metrics,
            dispatcher: new Dispatcher(loads, new EndpointHealth(), new SeededRandom(1)),
            latencyModel: () => model,
            candidates: () => endpoints,
            addDemand: () => undefined,
        },
        true,
        new SeededRandom(2),
    );
    gate.recordPace("app");
    const room = { app: { ranks: [[2, share] as [number, number]], workspaces: [], clearMs: 800 } };
    gate.applyAnswer({ leading: true, stewards: [], members: 1, room }, clock.now());
    const decide = (id: string, origin?: { service: string; version: string; }) =>
        gate.decide({
            origin,
            workspace: testWorkspace(),
            units: 7,
            dispatch: {
                id,
                service: "app",
                workspace: "w",
                rank: 2,
                arrivedAt: clock.now(),
                targetAt: clock.now() + 400,
                deadline: clock.now() + 3_000,
                work: undefined,
            },
        });
    return { decide, metrics, clock, loads, refunded: () => refundedUnits };
}

describe("RoomGate.decide", () => {
    // Load: twice the capacity for seconds, while endpoints are reclaimed and the streams they served are taken up.
    // Guards against streams that stay broken after their first events, whose work is lost.
    it("admits each stream that its caller takes up, under a level that refuses new requests of its rank", () => {
        for (const share of [0, 0.1]) {
            const { decide, metrics, refunded } = gateUnderLevel(share);
            const origin = { service: "app", version: "v1" };
            const ids = Array.from({ length: 200 }, (...[, i]) => `attempt-${i}`);
            const refusedNew = ids.filter(id => decide(id) !== undefined).length;
            expect(refusedNew).to.be.at.least(200 * (1 - share) - 25);
            const afterNew = refunded();
            expect(afterNew).to.equal(refusedNew * 7);
            expect(ids.map(id => decide(id, origin))).to.deep.equal(ids.map(() => undefined));
            expect(refunded()).to.equal(afterNew);
            expect(metrics.values.get("room_refusals")).to.equal(refusedNew);
        }
    });

    // Guards against a gate that counts the slots of all endpoints a hundred times a second: 3% of a core at 7,400.
    it("looks at no more endpoints for a refusal when there are eight times as many", () => {
        const lookUps = (endpoints: number): number => {
            const { decide, clock, loads } = gateUnderLevel(0, endpoints);
            // As long as a level is valid.
            for (let i = 0; i < 350; i++) {
                expect(decide(`attempt-${i}`)?.reason).to.equal("admission level");
                clock.advanceTo(clock.now() + 2);
            }
            return loads.lookUps / 350;
        };
        // The first count is of all endpoints; later ones are as far apart as there are more of them.
        expect(lookUps(7_400) / lookUps(925)).to.be.below(1.5);
    });
});
