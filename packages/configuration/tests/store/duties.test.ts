import { allRules, ConfigurationStore, extendForClockRateError } from "@lentilramp/configuration";
import { expect } from "chai";
import { startedDriver } from "../fixtures.ts";

describe("duties", () => {
    // Guards against two concurrent holders of one duty.
    it("gives a duty to another holder only after the lease, extended by the clock rate error", () => {
        const driver = startedDriver();
        expect(driver.acquire("p1")).to.include({ ok: true, fencing: 1 });
        driver.at += extendForClockRateError(1_000) - 1;
        expect(driver.acquire("p2")).to.include({ error: "held", retryAfterMs: 1 });
        driver.at += 1;
        expect(driver.acquire("p2")).to.include({ ok: true, fencing: 2 });
        expect(driver.order("p1", 1)).to.include({ error: "stale-fencing" });
    });

    // Guards against a lease that expires early after a change of leader because the clock of the new leader is ahead.
    it("does not count the difference between the clocks of two leaders", () => {
        const driver = startedDriver();
        driver.acquire("p1");
        driver.epoch = 2;
        driver.at += 3_600_000;
        expect(driver.acquire("p2")).to.include({ error: "held" });
        driver.at += extendForClockRateError(1_000);
        expect(driver.acquire("p2")).to.include({ ok: true, fencing: 2 });
    });

    // Guards against an endpoint without fencing checks that receives valid orders of two holders.
    it("makes the next holder wait for the last order to expire, unless the wait is turned off", () => {
        for (const fencingWait of [true, false]) {
            const driver = startedDriver(new ConfigurationStore({ switches: { ...allRules, fencingWait } }));
            driver.acquire("p1");
            driver.order("p1", 1, 5_000);
            driver.order("p1", 1, 100);
            driver.at += 2_000;
            const remaining = extendForClockRateError(5_000) - 2_000;
            const orderWaitMs = fencingWait ? extendForClockRateError(remaining) : 0;
            expect(driver.acquire("p2")).to.include({ ok: true, orderWaitMs });
        }
    });

    // Guards against a fencing number that decreases after a release or a lost answer.
    it("increases the fencing number with each lease and repeats it for a resent command", () => {
        const driver = startedDriver();
        driver.acquire("p1", "op");
        expect(driver.acquire("p1", "op")).to.include({ fencing: 1 });
        const { time } = driver;
        const lease = { region: "no-west", duty: "placement", holder: "p1", fencing: 1 };
        expect(driver.apply({ type: "duty-renew", time, ...lease, leaseMs: 1_000 })).to.include({ ok: true });
        expect(driver.apply({ type: "duty-release", time, ...lease })).to.include({ ok: true });
        expect(driver.apply({ type: "duty-renew", time, ...lease, leaseMs: 1 })).to.include({ error: "stale-fencing" });
        expect(driver.acquire("p2")).to.include({ ok: true, fencing: 2 });
    });
});
