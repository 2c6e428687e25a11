import {
    type Endpoint,
    originKey,
    OriginReporter,
    originSyncIntervalMs,
    singleVersions,
    StreamOrigins,
    takeUpGraceMs,
    updateVersionHistory,
    type VersionHistory,
} from "@lentilramp/fleet";
import { expect } from "chai";

const v1 = { service: "app", version: "v1" };
const v2 = { service: "app", version: "v2" };

describe("StreamOrigins", () => {
    it("keeps the first origin of a stream, and forgets it when nobody can take the stream up any more", () => {
        const origins = new StreamOrigins();
        expect(origins.record("a", v1, 90_000, 1_000)).to.equal(true);
        expect(origins.record("a", v2, 90_000, 2_000)).to.equal(false);
        expect(origins.find("a", 89_999)?.origin).to.deep.equal(v1);
        expect(origins.find("a", 90_000)).to.equal(undefined);
    });

    // Guards against a stream that outlives a fixed time: it goes on at another ingress under a later deadline.
    it("keeps the first origin for as long as the last attempt at its stream may go on", () => {
        const origins = new StreamOrigins();
        origins.record("a", v1, 10_000, 0);
        expect(origins.record("a", v2, 60_000, 9_000)).to.equal(true);
        expect(origins.find("a", 59_999)?.origin).to.deep.equal(v1);
        expect(origins.record("a", v2, 50_000, 9_000), "an earlier deadline").to.equal(false);
        expect(origins.find("a", 59_999)?.origin).to.deep.equal(v1);
        expect(origins.record("a", v2, 90_000, 60_000), "after its end").to.equal(true);
        expect(origins.find("a", 70_000)?.origin).to.deep.equal(v2);
    });

    it("copies what has come since the last copy, also after it has forgotten older entries", () => {
        const origins = new StreamOrigins();
        origins.record("a", v1, 30_000, 0);
        origins.record("b", v2, 30_010, 10);
        const first = origins.reportsFrom(0, 1, 10);
        expect(first).to.deep.equal({ reports: { app: { v1: ["a"] } }, lives: { app: { v1: [30] } }, next: 1 });
        expect(origins.reportsFrom(first.next, 10, 10)).to.deep.equal({
            reports: { app: { v2: ["b"] } },
            lives: { app: { v2: [30] } },
            next: 2,
        });
        origins.record("c", v1, 70_000, 40_000);
        expect(origins.reportsFrom(2, 10, 40_000).reports).to.deep.equal({ app: { v1: ["c"] } });
    });

    it("copies an origin again that has been prolonged since", () => {
        const origins = new StreamOrigins();
        origins.record("a", v1, 30_000, 0);
        origins.record("b", v1, 30_000, 0);
        const { next } = origins.reportsFrom(0, 10, 0);
        origins.record("a", v1, 90_000, 10_000);
        expect(origins.reportsFrom(next, 10, 10_000)).to.deep.equal({
            reports: { app: { v1: ["a"] } },
            lives: { app: { v1: [80] } },
            next: 3,
        });
    });

    it("keeps what others report for the life that they state, and else for that of its service", () => {
        const origins = new StreamOrigins();
        const lifeMs = (service: string): number => service === "app" ? 50_000 : 0;
        origins.merge({ app: { v1: ["a"], v2: ["b"] } }, { app: { v1: [20] } }, lifeMs, 1_000);
        expect(origins.find("a", 20_999)?.origin).to.deep.equal(v1);
        expect(origins.find("a", 21_000)).to.equal(undefined);
        expect(origins.find("b", 50_999)?.origin).to.deep.equal(v2);
        expect(origins.find("b", 51_000)).to.equal(undefined);
    });

    // Guards against long streams that are forgotten for the sake of short ones, most of which have ended.
    it("forgets those first at its limit that expire first", () => {
        const origins = new StreamOrigins();
        origins.record("long", v1, 600_000, 0);
        for (let i = 0; i <= 200_000; i++) {
            origins.record(`short-${i}`, v1, 45_000, 0);
        }
        expect(origins.find("long", 0)?.origin).to.deep.equal(v1);
        expect(origins.find("short-0", 0)).to.equal(undefined);
        expect(origins.find("short-200000", 0)?.origin).to.deep.equal(v1);
    });

    // Guards against memory for streams that are prolonged again and again.
    it("keeps one entry of a stream that is prolonged", () => {
        const origins = new StreamOrigins();
        for (let i = 0; i < 1_000; i++) {
            origins.record("a", v1, 30_000 + i * 5_000, i * 5_000);
        }
        expect(origins).to.have.property("entries").with.length.at.most(2);
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
                origins.record(`key-${next}`, v1, 30_000, 0);
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
        expect(origins.find(`key-${next - 1}`, 0)?.origin, "newest").to.deep.equal(v1);
        expect(origins.find(`key-${next - limit * 0.9}`, 0)?.origin, "within nine tenths of the limit").to.deep.equal(
            v1,
        );
        expect(origins.find(`key-${next - limit - 1}`, 0), "beyond the limit").to.equal(undefined);
    });

    // Each call counted the old entries anew while they were less than half of all.
    it("records an origin at the same cost while nearly half of the known ones are old", () => {
        const msFor = (oldCount: number): number => {
            const origins = new StreamOrigins();
            for (let i = 0; i < 100_000; i++) {
                origins.record(`key-${i}`, v1, i < oldCount ? 30_000 : 60_000, 0);
            }
            const startedAt = performance.now();
            for (let i = 0; i < 2_000; i++) {
                origins.record(`new-${i}`, v1, 90_000, 31_000);
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
    const single = (versions: Record<string, string | undefined>) => new Map(Object.entries(versions));

    it("reports nothing of a service with one version, and all of it once that has a second one", () => {
        const reporter = new OriginReporter();
        reporter.setSingleVersions(single({ app: "v1" }));
        expect(reporter.record("a", v1, 90_000, 0)).to.equal(false);
        expect(reporter.record("b", { service: "other", version: "" }, 90_000, 0)).to.equal(true);
        expect(reporter.report(10)).to.deep.equal({
            reports: { other: { "": ["b"] } },
            lives: { other: { "": [90] } },
        });
        reporter.setSingleVersions(single({}));
        expect(reporter.report(40_000)).to.deep.equal({
            reports: { app: { v1: ["a"] }, other: { "": ["b"] } },
            lives: { app: { v1: [50] }, other: { "": [50] } },
        });
        expect(reporter.report(90_000).reports).to.deep.equal({});
    });

    // Guards against streams of a version that the leader does not know, or of which it believes that they are over.
    it("reports a stream of another version than the one that the leader knows", () => {
        const reporter = new OriginReporter();
        reporter.setSingleVersions(single({ app: "v1" }));
        expect(reporter.record("a", v2, 90_000, 0)).to.equal(true);
        expect(reporter.report(10).reports).to.deep.equal({ app: { v2: ["a"] } });
        reporter.setSingleVersions(single({ app: undefined }));
        expect(reporter.report(10).reports, "a leader that does not say which").to.deep.equal({});
    });

    // Guards against a new leader that knows nothing of the streams that began before it led.
    it("reports an origin until a leader has it, and again to the next one", () => {
        const reporter = new OriginReporter();
        reporter.record("a", v1, 90_000, 0);
        reporter.acknowledge("leader-1", {}, true, 10);
        const { reports } = reporter.report(10);
        expect(reports).to.deep.equal({ app: { v1: ["a"] } });
        reporter.acknowledge("leader-1", reports, true, 20);
        expect(reporter.report(20).reports).to.deep.equal({});
        reporter.acknowledge("leader-2", {}, true, 30);
        expect(reporter.report(30).reports).to.deep.equal(reports);
    });

    it("reports an origin again that was prolonged while its report was on the way", () => {
        const reporter = new OriginReporter();
        reporter.record("a", v1, 30_000, 0);
        reporter.acknowledge("leader", {}, true, 0);
        const { reports } = reporter.report(10);
        reporter.record("a", v1, 90_000, 20);
        reporter.acknowledge("leader", reports, true, 30);
        expect(reporter.report(30)).to.deep.equal({ reports, lives: { app: { v1: [90] } } });
    });

    // Guards against a leader of an earlier version, which forgets each origin 30 s after it has heard of it.
    it("reports all origins again and again to a leader that does not keep their lives", () => {
        const reporter = new OriginReporter();
        reporter.record("a", v1, 90_000, 0);
        reporter.acknowledge("leader", {}, false, 0);
        reporter.acknowledge("leader", reporter.report(10).reports, false, 10);
        expect(reporter.report(20).reports).to.deep.equal({});
        reporter.acknowledge("leader", {}, false, 10_000);
        expect(reporter.report(10_000).reports).to.deep.equal({ app: { v1: ["a"] } });
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
    const fresh: VersionHistory = { since: 0, isComplete: true, services: {} };
    const read = (
        history: VersionHistory,
        versions: (string | undefined)[],
        now: number,
        lifeMs = 60_000,
    ): VersionHistory =>
        updateVersionHistory(history, versions.map(version => endpoint(version)), () => lifeMs, now) ?? history;
    /** Time after which no stream is taken up that began under a route with a timeout of 60 s. */
    const overMs = 60_000 + takeUpGraceMs;

    it("knows the version of a service while it has one, and not until streams of the one before are over", () => {
        const now = 1_000_000;
        let history = read(fresh, ["v1"], now);
        expect(singleVersions(history, now)).to.deep.equal({ app: "v1" });
        history = read(history, ["v1", "v2"], now + 100);
        expect(singleVersions(history, now + 100)).to.deep.equal({});
        history = read(history, ["v2"], now + 200);
        expect(singleVersions(history, now + 200 + overMs - 1)).to.deep.equal({});
        expect(singleVersions(history, now + 200 + overMs)).to.deep.equal({ app: "v2" });
        history = read(history, ["v2"], now + 200 + overMs);
        expect(history.services).to.deep.equal({ app: { listed: ["v2"], left: {}, until: {}, lifeMs: 60_000 } });
    });

    // Guards against the streams of a version that has left, which run for as long as the route allowed when they began.
    it("keeps a version that has left for the longest time that a route gave its streams", () => {
        const leftAt = 1_000_000;
        const left = read(read(fresh, ["v1", "v2"], 0, 600_000), ["v2"], leftAt, 600_000);
        const lowered = read(left, ["v2"], leftAt + 1_000, 10_000);
        expect(singleVersions(lowered, leftAt + 600_000 + takeUpGraceMs - 1), "lowered after").to.deep.equal({});
        expect(singleVersions(lowered, leftAt + 600_000 + takeUpGraceMs)).to.deep.equal({ app: "v2" });
        const raised = read(left, ["v2"], leftAt + 1_000, 900_000);
        expect(singleVersions(raised, leftAt + 900_000 + takeUpGraceMs - 1), "raised after").to.deep.equal({});
        expect(singleVersions(raised, leftAt + 900_000 + takeUpGraceMs)).to.deep.equal({ app: "v2" });
        const loweredBefore = read(read(fresh, ["v1", "v2"], 0, 600_000), ["v1", "v2"], leftAt - 1_000, 10_000);
        const leftLater = read(loweredBefore, ["v2"], leftAt, 10_000);
        const endsBy = leftAt - 1_000 + 600_000;
        expect(singleVersions(leftLater, endsBy + takeUpGraceMs - 1), "lowered before").to.deep.equal({});
        expect(singleVersions(leftLater, endsBy + takeUpGraceMs)).to.deep.equal({ app: "v2" });
    });

    it("keeps nothing but a grace time of a service whose streams cannot be taken up", () => {
        const history = read(read(fresh, ["v1"], 1_000, 0), ["v2"], 2_000, 0);
        expect(singleVersions(history, 2_000 + takeUpGraceMs - 1)).to.deep.equal({});
        expect(singleVersions(history, 2_000 + takeUpGraceMs)).to.deep.equal({ app: "v2" });
    });

    it("changes only when the versions do, or the lives of their streams", () => {
        const history = read(fresh, ["v1"], 1_000);
        const update = (before: VersionHistory, versions: string[], lifeMs: number, now: number) =>
            updateVersionHistory(before, versions.map(version => endpoint(version)), () => lifeMs, now);
        expect(update(history, ["v1", "v1"], 60_000, 2_000)).to.equal(undefined);
        const gone = read(history, [], 3_000);
        expect(gone.services).to.deep.equal({
            app: { listed: [], left: { v1: 3_000 }, until: { v1: 3_000 + overMs }, lifeMs: 60_000 },
        });
        expect(update(gone, [], 60_000, 4_000)).to.equal(undefined);
        const lowered = read(history, ["v1"], 5_000, 10_000);
        expect(lowered.services["app"]).to.include({ lifeMs: 10_000, endsBy: 65_000 });
        expect(update(lowered, ["v1"], 10_000, 6_000)).to.equal(undefined);
    });

    // Guards against a service that seems to have had one version, since nobody recorded the others.
    it("knows no version before the history covers the streams that may be taken up", () => {
        const history = read({ since: 500_000, isComplete: true, services: {} }, ["v1"], 500_000);
        expect(singleVersions(history, 500_000 + overMs - 1)).to.deep.equal({});
        expect(singleVersions(history, 500_000 + overMs)).to.deep.equal({ app: "v1" });
    });

    // Guards against a leader of an earlier version in between, which drops a version 30 s after it has left.
    it("takes a history of an earlier software version for complete in its last 30 s alone", () => {
        const earlier = { since: 0, services: { app: { listed: ["v2"], left: {} } } };
        const history = read(earlier, ["v2"], 1_000_000);
        expect(singleVersions(history, 1_000_000)).to.deep.equal({});
        expect(singleVersions(history, 1_000_000 - 30_000 + overMs)).to.deep.equal({ app: "v2" });
    });

    it("takes entries without a version for a version of their own", () => {
        expect(singleVersions(read(fresh, [undefined], 100_000), 100_000)).to.deep.equal({ app: "" });
        expect(singleVersions(read(fresh, [undefined, "v1"], 100_000), 100_000)).to.deep.equal({});
    });
});
