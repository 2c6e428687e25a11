import { allRules, ConfigurationStore, permitExpiryBoundMs } from "@lentilramp/configuration";
import { expect } from "chai";
import { exampleConfiguration, serviceEndpoint, startedDriver, StoreDriver } from "../fixtures.ts";

describe("ConfigurationStore", () => {
    // Guards against a lost update when two operators propose concurrently.
    it("accepts one of two proposals with equal base versions and returns its version to the other", () => {
        const driver = startedDriver();
        const other = exampleConfiguration({ costWeight: 0.9 });
        expect(driver.propose("x", 1, exampleConfiguration({ costWeight: 0.8 }))).to.include({ ok: true, version: 2 });
        expect(driver.propose("y", 1, other)).to.include({ ok: false, error: "conflict", winningVersion: 2 });
        expect(driver.store.configuration.costWeight).to.equal(0.8);
        const unknownBase = driver.propose("z", 7, other);
        expect(unknownBase).to.include({ ok: false, error: "conflict" }).and.not.have.property("winningVersion");
    });

    // Shows that the check above fails without the check of the base version.
    it("loses an update when the version check is turned off", () => {
        const driver = startedDriver(new ConfigurationStore({ switches: { ...allRules, versionCheck: false } }));
        driver.propose("x", 1, exampleConfiguration({ costWeight: 0.8 }));
        expect(driver.propose("y", 1, exampleConfiguration({ costWeight: 0.9 }))).to.include({ ok: true });
        expect(driver.store.configuration.costWeight).to.equal(0.9);
    });

    // Guards against a change applied twice when an operator resends a command whose answer was lost, also after a
    // restore.
    it("answers a resent operation with its first result across a snapshot", () => {
        const driver = startedDriver();
        driver.propose("x", 1, exampleConfiguration({ costWeight: 0.8 }));
        driver.propose("y", 2, exampleConfiguration({ costWeight: 0.9 }));
        const restored = new ConfigurationStore();
        expect(restored.restore(JSON.parse(JSON.stringify(driver.store.snapshot()))).isOk()).to.equal(true);
        const restoredDriver = new StoreDriver(driver.at, restored);
        expect(restoredDriver.propose("x", 1, exampleConfiguration({ costWeight: 0.8 }))).to.deep.equal({
            ok: true,
            version: 2,
        });
        expect(restored.configuration).to.deep.equal(driver.store.configuration);
    });

    // Guards against results removed while a resend is still allowed, and against unbounded growth.
    it("retains a result while it is among the latest 10,000 or younger than 24 h", () => {
        const driver = startedDriver();
        for (let i = 0; i < 10_050; i++) {
            driver.drain(`drain-${i}`, "hire-1");
        }
        expect(driver.store.dump().keptResults).to.equal(10_051);
        driver.at += 24 * 3_600_000 + 1;
        driver.drain("last", "hire-1");
        expect(driver.store.dump().keptResults).to.equal(10_000);
    });

    // Guards against a generated configuration that cancels a drain in progress.
    it("keeps the lifecycle state of an endpoint through a proposal", () => {
        const driver = startedDriver();
        driver.drain("d", "hire-1");
        driver.propose("x", 2, exampleConfiguration({ costWeight: 0.9 }));
        expect(driver.store.configuration.endpoints.map(({ lifecycle }) => lifecycle)).to.deep.equal([
            "draining",
            "active",
        ]);
    });

    // Guards against a proposal with a dangling reference, which would fail at every entry instead of at the operator.
    it("refuses unknown references and duplicate ids", () => {
        const driver = startedDriver();
        const endpoints = [serviceEndpoint("hire-1"), { ...serviceEndpoint("hire-1"), services: ["missing"] }];
        const result = driver.propose("x", 1, exampleConfiguration({ endpoints }));
        expect(result).to.include({ ok: false, error: "invalid" });
        expect(JSON.stringify(result)).to.contain("occurs twice").and.to.contain("missing");
    });

    // Guards against claim replicas that change while outcomes of a key are retained.
    it("refuses a changed claim generation and one that starts too early", () => {
        const driver = startedDriver();
        const replicas = [{ identity: "r1", address: { host: "127.0.0.1", port: 1 }, failureDomain: "a" }];
        const first = { generation: 1, fromIssueTime: 0, replicas };
        const propose = (generations: typeof first[]) => {
            const base = driver.store.version;
            return driver.propose(`g-${driver.index}`, base, exampleConfiguration({ claimGenerations: generations }));
        };
        expect(propose([first])).to.include({ ok: true });
        expect(propose([{ ...first, fromIssueTime: 5 }])).to.include({ error: "invalid" });
        expect(propose([])).to.include({ error: "invalid" });
        const second = (leadMs: number) => ({ ...first, generation: 2, fromIssueTime: driver.at + leadMs });
        expect(propose([first, second(309_999)])).to.include({ error: "invalid" });
        expect(propose([first, second(310_000)])).to.include({ ok: true });
    });
});

describe("hand-over", () => {
    function releaseEndpoint(driver: StoreDriver) {
        driver.handOver("planned", "hire-1");
        driver.handOver("draining", "hire-1");
        driver.at += permitExpiryBoundMs;
        return driver.handOver("released", "hire-1", { sinceAppliedMs: permitExpiryBoundMs, inFlight: 0 });
    }

    // Guards against an endpoint that is handed over while an entry may still send new work to it.
    it("releases an endpoint only after the permit bound and the end of its requests in flight", () => {
        const driver = startedDriver();
        expect(driver.handOver("draining", "hire-1")).to.include({ error: "wrong-step" });
        driver.handOver("planned", "hire-1");
        driver.handOver("draining", "hire-1");
        driver.at += permitExpiryBoundMs - 1;
        const early = { sinceAppliedMs: permitExpiryBoundMs - 1, inFlight: 0 };
        expect(driver.handOver("released", "hire-1", early)).to.include({ error: "not-yet", retryAfterMs: 1 });
        driver.at += 1;
        const waited = { sinceAppliedMs: permitExpiryBoundMs };
        expect(driver.handOver("released", "hire-1", { ...waited, inFlight: 2 })).to.include({ error: "not-yet" });
        expect(driver.handOver("released", "hire-1", { ...waited, inFlight: 0 })).to.include({ ok: true });
        expect(driver.handOver("transferred", "hire-1")).to.include({ ok: true });
        expect(driver.store.configuration.endpoints.map(({ id }) => id)).to.deep.equal(["hire-2"]);
    });

    // Shows that the check above fails without the wait for the expiry of permits.
    it("releases an endpoint too early when the wait is turned off", () => {
        const driver = startedDriver(new ConfigurationStore({ switches: { ...allRules, fencingWait: false } }));
        driver.handOver("planned", "hire-1");
        driver.handOver("draining", "hire-1");
        expect(driver.handOver("released", "hire-1", { inFlight: 0 })).to.include({ ok: true });
    });

    // Guards against a transferred endpoint that a stale generated configuration adds again.
    it("refuses the id of a transferred item, and accepts it only when the check is turned off", () => {
        for (const tombstoneCheck of [true, false]) {
            const driver = startedDriver(new ConfigurationStore({ switches: { ...allRules, tombstoneCheck } }));
            releaseEndpoint(driver);
            driver.handOver("transferred", "hire-1");
            const result = driver.propose("back", driver.store.version, exampleConfiguration());
            expect(result.ok).to.equal(!tombstoneCheck);
        }
    });

    // Guards against a missing tombstone when a proposal removes an item during its hand-over.
    it("refuses a proposal that removes an item during its hand-over", () => {
        const driver = startedDriver();
        driver.handOver("planned", "hire-1");
        const without = exampleConfiguration({ endpoints: [serviceEndpoint("hire-2", 7002)] });
        expect(driver.propose("x", 2, without)).to.include({ error: "invalid" });
    });

    // Guards against dangling references of routes and endpoints to a transferred service.
    it("removes the references to a transferred service", () => {
        const driver = startedDriver();
        const kind = "service";
        driver.handOver("planned", "booking", { kind });
        driver.handOver("draining", "booking", { kind });
        driver.at += permitExpiryBoundMs;
        driver.handOver("released", "booking", { kind, sinceAppliedMs: permitExpiryBoundMs, inFlight: 0 });
        expect(driver.handOver("transferred", "booking", { kind })).to.include({ ok: true });
        expect(driver.store.configuration.endpoints.flatMap(({ services }) => services)).to.deep.equal([]);
    });
});
