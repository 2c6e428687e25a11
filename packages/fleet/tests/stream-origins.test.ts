import {
    type Endpoint,
    originKey,
    originLifetimeMs,
    OriginReporter,
    originSyncIntervalMs,
    singleVersions,
    StreamOrigins,
    updateVersionHistory,
    type VersionHistory,
} from "@lentilramp/fleet";
import { expect } from "chai";

const v1 = { service: "app", version: "v1" };
const v2 = { service: "app", version: "v2" };

describe("StreamOrigins", () => {
    it("keeps the first origin of a stream, and forgets it when nobody can take the stream up any more", () => {
        const origins = new StreamOrigins();
        expect(origins.record("a", v1, 1_000)).to.equal(true);
        expect(origins.record("a", v2, 2_000)).to.equal(false);
        expect(origins.find("a", 1_000 + originLifetimeMs)).to.deep.equal(v1);
        expect(origins.find("a", 1_001 + originLifetimeMs)).to.equal(undefined);
    });

    it("copies what has come since the last copy, also after it has forgotten older entries", () => {
        const origins = new StreamOrigins();
        origins.record("a", v1, 0);
        origins.record("b", v2, 10);
        const first = origins.reportsFrom(0, 1, 20);
        expect(first).to.deep.equal({ reports: { app: { v1: ["a"] } }, next: 1 });
        expect(origins.reportsFrom(first.next, 10, 20)).to.deep.equal({ reports: { app: { v2: ["b"] } }, next: 2 });
        origins.record("c", v1, originLifetimeMs + 20);
        expect(origins.reportsFrom(2, 10, originLifetimeMs + 20).reports).to.deep.equal({ app: { v1: ["c"] } });
    });

    // At the limit of 200,000 origins, the list was copied for each new one: 1.09 ms a call, and 0.4 us below the limit.
    it("records an origin at the same cost below and above its limit", () => {
        const limit = 200_000;
        const calls = 20_000;
        const origins = new StreamOrigins();
        let next = 0;
        const msFor = (count: number): number => {
            const startedAt = performance.now();
            for (const end = next + count; next < end; next++) {
                origins.record(`key-${next}`, v1, 0);
            }
            return performance.now() - startedAt;
        };
        // The median of several rounds leaves out pauses of the machine and of the garbage collector.
        const medianMs = (): number => [1, 2, 3, 4, 5].map(() => msFor(calls)).sort((a, b) => a - b)[2] ?? NaN;
        msFor(limit / 4);
        const below = medianMs();
        msFor(limit - next);
        const above = medianMs();
        expect(above / below).to.be.below(5);
        expect(origins.find(`key-${next - 1}`, 0), "newest").to.deep.equal(v1);
        expect(origins.find(`key-${next - limit * 0.9}`, 0), "within nine tenths of the limit").to.deep.equal(v1);
        expect(origins.find(`key-${next - limit - 1}`, 0), "beyond the limit").to.equal(undefined);
    });

    // Each call counted the old entries anew while they were less than half of all.
    it("records an origin at the same cost while nearly half of the known ones are old", () => {
        const msFor = (oldCount: number): number => {
            const origins = new StreamOrigins();
            for (let i = 0; i < 100_000; i++) {
                origins.record(`key-${i}`, v1, i < oldCount ? 0 : originLifetimeMs);
            }
            const startedAt = performance.now();
            for (let i = 0; i < 2_000; i++) {
                origins.record(`new-${i}`, v1, originLifetimeMs + 1);
            }
            return performance.now() - startedAt;
        };
        const medianMs = (oldCount: number): number =>
            [1, 2, 3].map(() => msFor(oldCount)).sort((a, b) => a - b)[1] ?? NaN;
        expect(medianMs(45_000) / medianMs(0)).to.be.below(10);
    });

    it("tells apart the streams of two workspaces that use the same id", () => {
        expect(originKey("w", "a1")).to.not.equal(originKey("v", "a1"));
        expect(originKey("w", "a1")).to.equal(originKey("w", "a1")).and.to.have.length(11);
    });
});

describe("OriginReporter", () => {
    it("reports nothing of a service with one version, and all of it once that has a second one", () => {
        const reporter = new OriginReporter();
        reporter.setSingleVersion(new Set(["app"]));
        expect(reporter.record("a", v1, 0)).to.equal(false);
        expect(reporter.record("b", { service: "other", version: "" }, 0)).to.equal(true);
        expect(reporter.reports(10)).to.deep.equal({ other: { "": ["b"] } });
        reporter.setSingleVersion(new Set());
        expect(reporter.reports(10)).to.deep.equal({ app: { v1: ["a"] }, other: { "": ["b"] } });
        expect(reporter.reports(originLifetimeMs + 1)).to.deep.equal({});
    });

    // Guards against a new leader that knows nothing of the streams that began before it led.
    it("reports an origin until a leader has it, and again to the next one", () => {
        const reporter = new OriginReporter();
        reporter.record("a", v1, 0);
        reporter.acknowledge("leader-1", {}, 10);
        const reports = reporter.reports(10);
        expect(reports).to.deep.equal({ app: { v1: ["a"] } });
        reporter.acknowledge("leader-1", reports, 20);
        expect(reporter.reports(20)).to.deep.equal({});
        reporter.acknowledge("leader-2", {}, 30);
        expect(reporter.reports(30)).to.deep.equal(reports);
    });
});

describe("originSyncIntervalMs", () => {
    // Guards against a leader that a release overloads, since each ingress has new origins all the time.
    it("keeps the leader's rate of syncs within its bound at any size", () => {
        for (const members of [1, 3, 8, 13, 50, 191, 1_600]) {
            expect(members * 1_000 / originSyncIntervalMs(members), String(members)).to.be.at.most(200);
        }
    });
});

describe("history of versions", () => {
    const endpoint = (version: string | undefined, service = "app"): Endpoint => ({
        id: `${service}-${version}`,
        service,
        host: "10.0.0.1",
        port: 80,
        failureDomain: "a",
        slots: 1,
        ready: true,
        reclaimable: false,
        version,
    });
    const fresh: VersionHistory = { since: 0, services: {} };
    const read = (history: VersionHistory, versions: (string | undefined)[], now: number): VersionHistory =>
        updateVersionHistory(history, versions.map(version => endpoint(version)), now) ?? history;

    it("knows the version of a service while it has one, and not until streams of the one before are over", () => {
        const now = 1_000_000;
        let history = read(fresh, ["v1"], now);
        expect(singleVersions(history, now)).to.deep.equal({ app: "v1" });
        history = read(history, ["v1", "v2"], now + 100);
        expect(singleVersions(history, now + 100)).to.deep.equal({});
        history = read(history, ["v2"], now + 200);
        expect(singleVersions(history, now + 200 + originLifetimeMs - 1)).to.deep.equal({});
        expect(singleVersions(history, now + 200 + originLifetimeMs)).to.deep.equal({ app: "v2" });
        history = read(history, ["v2"], now + 200 + originLifetimeMs);
        expect(history.services).to.deep.equal({ app: { listed: ["v2"], left: {} } });
    });

    it("changes only when the versions do", () => {
        const history = read(fresh, ["v1"], 1_000);
        expect(updateVersionHistory(history, [endpoint("v1"), endpoint("v1")], 2_000)).to.equal(undefined);
        const gone = read(history, [], 3_000);
        expect(gone.services).to.deep.equal({ app: { listed: [], left: { v1: 3_000 } } });
        expect(updateVersionHistory(gone, [], 4_000)).to.equal(undefined);
    });

    // Guards against a service that seems to have had one version, since nobody recorded the others.
    it("knows no version before the history covers the streams that may be taken up", () => {
        const history = read({ since: 500_000, services: {} }, ["v1"], 500_000);
        expect(singleVersions(history, 500_000 + originLifetimeMs - 1)).to.deep.equal({});
        expect(singleVersions(history, 500_000 + originLifetimeMs)).to.deep.equal({ app: "v1" });
    });

    it("takes entries without a version for a version of their own", () => {
        expect(singleVersions(read(fresh, [undefined], 100_000), 100_000)).to.deep.equal({ app: "" });
        expect(singleVersions(read(fresh, [undefined, "v1"], 100_000), 100_000)).to.deep.equal({});
    });
});
