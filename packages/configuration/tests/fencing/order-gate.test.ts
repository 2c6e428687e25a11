import { allRules, FencingCheck, OrderGate, type RuleSwitches } from "@lentilramp/configuration";
import { expect } from "chai";

function createGate(switches?: RuleSwitches): OrderGate {
    const orderGate = new OrderGate(switches);
    orderGate.onLeaseAcquired({ fencing: 2, sentAt: 1_000, leaseMs: 10_000 }, 3_000, 1_050);
    return orderGate;
}

describe("OrderGate", () => {
    const order = { fencing: 2, sentAt: 1_100, validForMs: 5_000 };

    // Guards against an endpoint without fencing checks that gets an order while one of an earlier holder is valid.
    it("waits before orders to endpoints that ignore fencing numbers, unless the wait is turned off", () => {
        expect(createGate().check(order, false, 4_049)).to.deep.equal({ kind: "wait", until: 4_050 });
        expect(createGate().check(order, false, 4_050)).to.equal(undefined);
        expect(createGate().check(order, true, 1_200)).to.equal(undefined);
        expect(createGate({ ...allRules, fencingWait: false }).check(order, false, 1_200)).to.equal(undefined);
    });

    // Guards against orders sent after the expiry of the lease or the order, or with an outdated fencing number.
    it("refuses an order without a lease, after its expiry, or with another fencing number", () => {
        const orderGate = createGate();
        expect(orderGate.check(order, true, 6_100)).to.deep.equal({ kind: "expired" });
        expect(orderGate.check({ ...order, fencing: 1 }, true, 1_200)).to.deep.equal({ kind: "old-order" });
        expect(orderGate.check({ ...order, sentAt: 9_000 }, true, 11_000)).to.deep.equal({ kind: "no-lease" });
        orderGate.onLeaseRenewed(6_000, 10_000);
        expect(orderGate.check({ ...order, sentAt: 9_000 }, true, 11_000)).to.equal(undefined);
        expect(orderGate.deadlineFor(order)).to.equal(6_100);
        orderGate.onLeaseLost();
        expect(orderGate.check(order, true, 1_200)).to.deep.equal({ kind: "no-lease" });
    });
});

describe("FencingCheck", () => {
    // Guards against an endpoint that executes orders of a holder whose lease has expired.
    it("rejects a number below the highest one recorded for the duty of the region", () => {
        const check = new FencingCheck();
        expect(check.accept("r", "placement", 3)).to.equal(true);
        expect(check.accept("r", "placement", 2)).to.equal(false);
        expect(check.accept("r", "reclaim", 2)).to.equal(true);
    });
});
