import { allRules, FencingCheck, OrderGate, type RuleSwitches } from "@lentilramp/configuration";
import { expect } from "chai";

function gate(switches?: RuleSwitches): OrderGate {
    const result = new OrderGate(switches);
    result.onLeaseAcquired({ fencing: 2, sentAt: 1_000, leaseMs: 10_000 }, 3_000, 1_050);
    return result;
}

describe("OrderGate", () => {
    const order = { fencing: 2, sentAt: 1_100, validForMs: 5_000 };

    // Guards against an endpoint without fencing checks that gets an order while one of the earlier holder is valid.
    it("waits before orders to endpoints that ignore fencing numbers, unless the wait is turned off", () => {
        expect(gate().check(order, false, 4_049)).to.deep.equal({ kind: "wait", until: 4_050 });
        expect(gate().check(order, false, 4_050)).to.equal(undefined);
        expect(gate().check(order, true, 1_200)).to.equal(undefined);
        expect(gate({ ...allRules, fencingWait: false }).check(order, false, 1_200)).to.equal(undefined);
    });

    // Guards against orders sent after the end of the lease, of the order, or with an old number.
    it("refuses without a lease, after the end of the order, and for another fencing number", () => {
        const held = gate();
        expect(held.check(order, true, 6_100)).to.deep.equal({ kind: "expired" });
        expect(held.check({ ...order, fencing: 1 }, true, 1_200)).to.deep.equal({ kind: "old-order" });
        expect(held.check({ ...order, sentAt: 9_000 }, true, 11_000)).to.deep.equal({ kind: "no-lease" });
        held.onLeaseRenewed(6_000, 10_000);
        expect(held.check({ ...order, sentAt: 9_000 }, true, 11_000)).to.equal(undefined);
        expect(held.deadlineFor(order)).to.equal(6_100);
        held.onLeaseLost();
        expect(held.check(order, true, 1_200)).to.deep.equal({ kind: "no-lease" });
    });
});

describe("FencingCheck", () => {
    // Guards against an endpoint that follows an authority whose lease has ended.
    it("refuses a number below the highest seen for the duty of the region", () => {
        const check = new FencingCheck();
        expect(check.accept("r", "placement", 3)).to.equal(true);
        expect(check.accept("r", "placement", 2)).to.equal(false);
        expect(check.accept("r", "reclaim", 2)).to.equal(true);
    });
});
