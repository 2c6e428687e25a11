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
 * Runs two holders and leaders that change, with clocks that share no time of day and run at wrong rates, and answers
 * that take up to 3 s. Returns how often an order reached an endpoint that ignores fencing numbers while an order of an
 * earlier holder was still valid by the clock of that holder.
 */
function overlappingOrders(seed: number, switches: RuleSwitches): number {
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
    const pending: { at: number; run: (now: number) => void; }[] = [];
    const later = (now: number, run: (now: number) => void) => {
        pending.push({ at: now + random.nextInt(random.nextInt(8) === 0 ? 3_000 : 30), run });
    };
    let overlaps = 0;
    const act = (holder: Holder, now: number) => {
        const sentAt = holder.clock(now);
        if (holder.gate.leaseEndsAt === undefined || holder.gate.leaseEndsAt <= sentAt) {
            later(now, applied => {
                driver.at = leaderClock(applied);
                const result = driver.acquire(holder.id);
                later(applied, answered => {
                    if (result.ok) {
                        holder.fencing = result.fencing!;
                        const lease = { fencing: holder.fencing, sentAt, leaseMs: 1_000 };
                        holder.gate.onLeaseAcquired(lease, result.orderWaitMs!, holder.clock(answered));
                    }
                });
            });
            return;
        }
        const { fencing } = holder;
        const validForMs = 100 + random.nextInt(3_000);
        later(now, applied => {
            driver.at = leaderClock(applied);
            const result = driver.order(holder.id, fencing, validForMs);
            later(applied, () => result.ok && holder.orders.push({ fencing, sentAt, validForMs }));
        });
    };
    for (let now = 0; now < 20_000; now += 10) {
        for (const message of pending.splice(0)) {
            message.at <= now ? message.run(now) : pending.push(message);
        }
        if (random.nextInt(400) === 0) {
            leaderClock = clock();
            driver.epoch++;
        }
        for (const holder of holders) {
            if (random.nextInt(20) === 0) {
                act(holder, now);
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
    // Guards against an endpoint without fencing checks that follows two authorities at once (design question 11).
    it("of an earlier holder have ended before a new holder sends one", () => {
        fc.assert(
            fc.property(fc.integer(), seed => {
                expect(overlappingOrders(seed, allRules)).to.equal(0);
            }),
            { seed: 11, numRuns: 150 },
        );
    });

    // Shows that the check above fails without the wait.
    it("overlap when the wait is turned off", () => {
        const runs = [...Array(50).keys()].map(seed => overlappingOrders(seed, { ...allRules, fencingWait: false }));
        expect(Math.max(...runs)).to.be.greaterThan(0);
    });
});
