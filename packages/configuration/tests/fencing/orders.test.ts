import {
    allRules,
    clockRateError,
    ConfigurationStore,
    type IssuedOrder,
    OrderGate,
    type RuleSwitches,
} from "@lentilramp/configuration";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";
import { startedDriver } from "../fixtures.ts";

/**
 * Simulates two duty holders and changes of leader. Clocks aren't synchronized and have rate errors, and messages take
 * up to 3 s. Returns how often an endpoint that ignores fencing numbers received an order while an order of an earlier
 * holder was still valid by the clock of that holder.
 */
function countOverlappingOrders(seed: number, switches: RuleSwitches): number {
    const random = new SeededRandom(seed);
    const driver = startedDriver(new ConfigurationStore({ switches }));
    const clock = () => {
        const rate = 1 + (2 * random.next() - 1) * clockRateError;
        const offset = random.nextInt(1_000_000);
        return (real: number) => real * rate + offset;
    };
    let leaderClock = clock();
    const holders = ["p1", "p2"].map(id => {
        const gate = new OrderGate(switches);
        return { id, gate, clock: clock(), fencing: 0, orders: [] as IssuedOrder[] };
    });
    type Holder = typeof holders[number];
    const sent: { fencing: number; holder: Holder; endsAt: number; }[] = [];
    const pending: { deliverAt: number; run: (now: number) => void; }[] = [];
    const deliverLater = (now: number, run: (now: number) => void) => {
        pending.push({ deliverAt: now + random.nextInt(random.nextInt(8) === 0 ? 3_000 : 30), run });
    };
    let overlaps = 0;
    const acquireOrIssueOrder = (holder: Holder, now: number) => {
        const sentAt = holder.clock(now);
        if (holder.gate.leaseEndsAt === undefined || holder.gate.leaseEndsAt <= sentAt) {
            deliverLater(now, appliedAt => {
                driver.at = leaderClock(appliedAt);
                const result = driver.acquire(holder.id);
                deliverLater(appliedAt, answeredAt => {
                    if (result.ok) {
                        holder.fencing = result.fencing!;
                        const lease = { fencing: holder.fencing, sentAt, leaseMs: 1_000 };
                        holder.gate.onLeaseAcquired(lease, result.orderWaitMs!, holder.clock(answeredAt));
                    }
                });
            });
            return;
        }
        const { fencing } = holder;
        const validForMs = 100 + random.nextInt(3_000);
        deliverLater(now, appliedAt => {
            driver.at = leaderClock(appliedAt);
            const result = driver.order(holder.id, fencing, validForMs);
            deliverLater(appliedAt, () => result.ok && holder.orders.push({ fencing, sentAt, validForMs }));
        });
    };
    for (let now = 0; now < 20_000; now += 10) {
        for (const message of pending.splice(0)) {
            message.deliverAt <= now ? message.run(now) : pending.push(message);
        }
        if (random.nextInt(400) === 0) {
            leaderClock = clock();
            driver.epoch++;
        }
        for (const holder of holders) {
            if (random.nextInt(20) === 0) {
                acquireOrIssueOrder(holder, now);
            }
            for (const order of holder.orders.splice(0)) {
                const refusal = holder.gate.check(order, false, holder.clock(now));
                if (refusal?.kind === "wait") {
                    holder.orders.push(order);
                }
                else if (refusal === undefined) {
                    overlaps += sent.filter(other =>
                        other.fencing < order.fencing && other.holder !== holder
                        && other.holder.clock(now) < other.endsAt
                    ).length;
                    sent.push({ fencing: order.fencing, holder, endsAt: order.sentAt + order.validForMs });
                }
            }
        }
    }
    return overlaps;
}

describe("orders", () => {
    // Guards against an endpoint without fencing checks that executes orders of two holders (design question 11).
    it("of an earlier holder have expired before a new holder sends one", () => {
        fc.assert(
            fc.property(fc.integer(), seed => {
                expect(countOverlappingOrders(seed, allRules)).to.equal(0);
            }),
            { seed: 11, numRuns: 150 },
        );
    });

    // Shows that the check above fails without the wait.
    it("overlap when the wait is turned off", () => {
        const runs = [...Array(50).keys()].map(seed =>
            countOverlappingOrders(seed, { ...allRules, fencingWait: false })
        );
        expect(Math.max(...runs)).to.be.greaterThan(0);
    });
});
