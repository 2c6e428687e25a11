import { type Endpoint, VersionAnnouncements, versionsKnownMs } from "@lentilramp/fleet";
import { expect } from "chai";

const maxListLagMs = 800;
/** Time after which every leader has a list that shows what another process has read, in milliseconds. */
const knownMs = maxListLagMs + versionsKnownMs;

describe("VersionAnnouncements", () => {
    const endpoint = (version: string, startedAt = 0, service = "app"): Endpoint => ({
        id: `${service}-${version}`,
        service,
        host: "10.0.0.1",
        port: 80,
        failureDomain: "a",
        slots: 1,
        ready: true,
        reclaimable: false,
        startedAt,
        version,
    });
    const v1 = endpoint("v1", 5);
    const v2 = endpoint("v2", 9);

    // Guards against streams of a version that no leader knows: others take them for streams of the version before.
    it("withholds a version that only this process has read until every leader has to know it", () => {
        const announcements = new VersionAnnouncements(maxListLagMs);
        announcements.applyLeaderList([v1], 1_000);
        const withheld = { service: "app", version: "v2", usableFrom: 2_000 + knownMs };
        expect(announcements.applyOwnList([v1, v2], 2_000)).to.deep.equal([withheld]);
        expect(announcements.applyOwnList([v1, v2], 2_000 + knownMs - 1)).to.deep.equal([withheld]);
        expect(announcements.applyOwnList([v1, v2], 2_000 + knownMs)).to.deep.equal([]);
    });

    it("withholds it although no other version is left", () => {
        const announcements = new VersionAnnouncements(maxListLagMs);
        announcements.applyLeaderList([v1], 1_000);
        expect(announcements.applyOwnList([v2], 2_000)).to.have.length(1);
        expect(announcements.applyOwnList([v2], 2_000 + knownMs)).to.deep.equal([]);
    });

    it("withholds nothing that the leader has listed", () => {
        const announcements = new VersionAnnouncements(maxListLagMs);
        announcements.applyLeaderList([v1, v2], 1_000);
        expect(announcements.applyOwnList([v1, v2], 60_000)).to.deep.equal([]);
    });

    // Guards against a version that returns after the leader has forgotten it.
    it("withholds a version anew that was not listed for long", () => {
        const announcements = new VersionAnnouncements(maxListLagMs);
        announcements.applyLeaderList([v1, v2], 1_000);
        expect(announcements.applyOwnList([v1], 2_000)).to.deep.equal([]);
        expect(announcements.applyOwnList([v1, v2], 10_000), "soon").to.deep.equal([]);
        expect(announcements.applyOwnList([v1], 20_000)).to.deep.equal([]);
        expect(announcements.applyOwnList([v1], 31_000)).to.deep.equal([]);
        expect(announcements.applyOwnList([v1, v2], 32_000), "late").to.have.length(1);
    });

    // Guards against a fleet that serves nothing until it has a leader.
    it("uses the version of the oldest endpoint when there is no list before", () => {
        const announcements = new VersionAnnouncements(maxListLagMs);
        const withheld = announcements.applyOwnList([v2, v1, endpoint("v7", 9, "other")], 2_000);
        expect(withheld.map(({ service, version }) => [service, version])).to.deep.equal([["app", "v2"]]);
    });
});
