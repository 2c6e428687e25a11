import type { Endpoint } from "@lentilramp/fleet";
import { VersionSplit } from "@lentilramp/ingress";
import { type RolloutNotice, rolloutNoticesSchema } from "@lentilramp/rollouts";
import { ManualClock, MemoryMetrics, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { notice } from "./version-notice.ts";

function endpoint(version: string | undefined, service = "app"): Endpoint {
    const address = { host: "10.0.0.1", port: 80 };
    return {
        id: `e-${version}`,
        service,
        ...address,
        failureDomain: "a",
        slots: 4,
        ready: true,
        reclaimable: false,
        version,
    };
}

const [v0, v1, v2] = ["v0", "v1", "v2"].map(version => endpoint(version)) as [Endpoint, Endpoint, Endpoint];

describe("VersionSplit", () => {
    let clock: ManualClock;
    let split: VersionSplit;

    beforeEach(() => {
        clock = new ManualClock(10_000);
        split = new VersionSplit(clock, new SeededRandom(5), new MemoryMetrics());
    });

    function tell(overrides: Partial<RolloutNotice> = {}, revision = 1, sentAt = clock.now()): void {
        const rollouts = { revision, partial: false, services: { app: notice(overrides) } };
        split.apply({ rollouts, leading: true }, sentAt);
    }

    /** Returns the part of new requests that may use an endpoint. */
    function part(of: Endpoint, required?: string): number {
        const count = 4_000;
        return Array.from({ length: count }, () => split.forRequest("app"))
            .filter(versions => versions.mayUse(of, required)).length / count;
    }

    const parts = (): number[] => [v0, v1, v2].map(of => part(of));

    it("uses all versions side by side before an order, and of services without one", () => {
        expect(parts()).to.deep.equal([1, 1, 1]);
        tell({ share: 0 });
        expect(split.forRequest("other").mayUse(endpoint("v2", "other"), undefined)).to.equal(true);
        expect(split.reports()).to.have.keys("app");
    });

    // Guards against a version that gets requests from ingresses that know of the order and of nothing else.
    it("sends nothing to the target without a share of the leader", () => {
        tell();
        expect(parts()).to.deep.equal([1, 1, 0]);
    });

    it("lets the share of new requests go to the target, and at the share 1 nothing to others", () => {
        tell({ share: 0.25 });
        expect(part(v2)).to.be.within(0.22, 0.28);
        expect(part(v1)).to.equal(1);
        tell({ share: 1 });
        expect(parts()).to.deep.equal([0, 0, 1]);
    });

    // Guards against requests to old replicas that have been stopped: a follower may not know yet that all is completed.
    it("sends to other versions on a follower's word during the canary only, and on a leader's afterwards", () => {
        const hear = (fields: Partial<RolloutNotice>, leading: boolean, current?: boolean): void => {
            const rollouts = { revision: 1, partial: false, services: { app: notice(fields) } };
            split.apply({ rollouts, leading, current }, clock.now());
        };
        for (const step of [undefined, 1, 2, 3]) {
            hear({ step }, false, true);
            expect(parts()).to.deep.equal([0, 0, 0]);
        }
        hear({ step: 0 }, false);
        expect(parts()).to.deep.equal([0, 0, 0]);
        hear({ step: 0 }, false, true);
        expect(parts()).to.deep.equal([1, 1, 0]);
        clock.advanceTo(clock.now() + 1_100);
        expect(parts()).to.deep.equal([0, 0, 0]);
        split.apply({ rollouts: { revision: 0, partial: false, services: {} }, leading: true }, clock.now());
        expect(parts()).to.deep.equal([0, 0, 0]);
        // A leader whose share has not been decided yet, or of an earlier build.
        hear({ step: 3 }, true);
        expect(parts()).to.deep.equal([1, 1, 0]);
        hear({ step: 3 }, false);
        expect(parts()).to.deep.equal([1, 1, 0]);
    });

    describe("without contact to the leader", () => {
        const hear = (fields: Partial<RolloutNotice>, leading: boolean, current?: boolean): void => {
            const rollouts = { revision: 1, partial: false, services: { app: notice(fields) } };
            split.apply({ rollouts, leading, current }, clock.now());
        };
        const advance = (ms: number): void => clock.advanceTo(clock.now() + ms);

        // Guards against requests to old replicas that have been stopped: the leader completes without an ingress that
        // it has not heard for some time.
        it("uses other versions for the time that the leader has said, and none afterwards", () => {
            tell({ share: 1, step: 3, ageMs: 200, othersMs: 5_000 });
            advance(1_000);
            expect(parts()).to.deep.equal([1, 1, 0]);
            advance(3_799);
            expect(parts()).to.deep.equal([1, 1, 0]);
            advance(1);
            expect(parts()).to.deep.equal([0, 0, 0]);
            expect(part(v1, "v1")).to.equal(0);
            tell({ share: 0.25, othersMs: 5_000 });
            expect(parts().slice(0, 2)).to.deep.equal([1, 1]);
        });

        // Guards against the same once an ingress has reported that it sends nothing to other versions: the leader may
        // complete at once.
        it("does not return to other versions once they are closed", () => {
            tell({ share: 1, closed: true, validMs: 5_000, othersMs: 5_000 });
            advance(4_999);
            expect(parts()).to.deep.equal([0, 0, 1]);
            advance(1);
            expect(parts()).to.deep.equal([0, 0, 0]);
            hear({ step: 3 }, false, true);
            hear({ step: 0 }, false, false);
            expect(parts()).to.deep.equal([0, 0, 0]);
            tell({ share: 0.25, othersMs: 5_000 });
            expect(parts().slice(0, 2)).to.deep.equal([1, 1]);
            // The time that was told before does not hold either.
            tell({ share: 1, closed: true, validMs: 1_500, othersMs: 4_000 });
            advance(1_500);
            expect(parts()).to.deep.equal([0, 0, 0]);
        });

        it("goes on at other versions while a follower in contact says that the canary lasts", () => {
            tell({ share: 0.1, step: 0, othersMs: 5_000 });
            advance(5_000);
            expect(parts()).to.deep.equal([0, 0, 0]);
            hear({ step: 1 }, false, true);
            expect(parts()).to.deep.equal([0, 0, 0]);
            hear({ step: 0 }, false, true);
            expect(parts()).to.deep.equal([1, 1, 0]);
            advance(1_100);
            expect(parts()).to.deep.equal([0, 0, 0]);
        });

        // Guards against a service that is refused as a whole for as long as the stewards have no leader: none completes.
        it("goes on at other versions while a steward answers that it knows no leader", () => {
            tell({ share: 1, step: 3, othersMs: 5_000 });
            for (let i = 0; i < 6; i++) {
                advance(i === 0 ? 4_999 : 1_099);
                expect(parts()).to.deep.equal([1, 1, 0]);
                hear({ step: 3 }, false, false);
            }
            advance(1_100);
            expect(parts()).to.deep.equal([0, 0, 0]);
            // A leader that is gone may have completed by now.
            hear({ step: 3 }, false, false);
            expect(parts()).to.deep.equal([0, 0, 0]);
            tell({ share: 1, step: 3, othersMs: 5_000 });
            advance(4_999);
            const rollouts = { revision: 1, partial: false, services: { app: notice({ step: 3 }) } };
            split.apply({ rollouts, leading: false, current: false, leader: { host: "h", port: 1 } }, clock.now());
            advance(1);
            expect(parts()).to.deep.equal([0, 0, 0]);
        });

        it("follows a leader of an earlier build, which says no time, as before", () => {
            tell({ share: 1 });
            advance(60_000);
            expect(parts()).to.deep.equal([1, 1, 0]);
        });

        // Guards against requests to old replicas that have been stopped, where an earlier build has led before.
        it("follows a leader that says a time after one of an earlier build", () => {
            tell({ share: 0.25 });
            tell({ share: 0.25, step: 1, othersMs: 4_000 });
            advance(3_999);
            expect(parts()).to.deep.equal([1, 1, 0]);
            advance(1);
            expect(parts()).to.deep.equal([0, 0, 0]);
        });
    });

    // Guards against an ingress behind a cut link that goes on with a version that was found bad meanwhile.
    it("returns to the share 0 when the leader has not been heard for the time that the share holds", () => {
        tell({ share: 1, ageMs: 300 }, 1, clock.now() - 100);
        clock.advanceTo(10_599);
        expect(part(v2)).to.equal(1);
        expect(split.reports()?.app).to.include({ share: 1 });
        clock.advanceTo(10_600);
        expect(parts()).to.deep.equal([1, 1, 0]);
        expect(split.reports()?.app).to.include({ share: 0 });
    });

    it("keeps the leader's share when a follower answers, and does not extend it", () => {
        tell({ share: 1 });
        clock.advanceTo(10_500);
        tell();
        expect(part(v2)).to.equal(1);
        clock.advanceTo(11_000);
        tell();
        expect(part(v2)).to.equal(0);
    });

    // Guards against an answer that opens other versions again although the leader has closed them since.
    it("ignores an answer to an earlier question than one that was answered", () => {
        clock.advanceTo(10_200);
        tell({ share: 1, closed: true }, 1, 10_100);
        tell({ share: 0.5 }, 1, 10_000);
        expect(parts()).to.deep.equal([0, 0, 1]);
        // A newer state holds in any case.
        tell({ state: "rolled_back", barred: ["v2"] }, 2, 10_000);
        expect(parts()).to.deep.equal([1, 1, 0]);
    });

    // Guards against a target that gets the share of all ingresses from each of a few, or from none.
    it("takes the share of all at a part of the ingresses, and renews it there", () => {
        const shares = Array.from({ length: 2_000 }, (...[, i]) => {
            split = new VersionSplit(clock, new SeededRandom(1), new MemoryMetrics(), `i${i}`);
            tell({ share: 0.05, part: 0.125, renewMs: 1_500, validMs: 2_500 });
            const { largestShare } = split;
            expect(split.renewAt).to.equal(largestShare > 0 ? 11_500 : Infinity);
            tell({ share: 0.05, part: 0.125, renewMs: 1_500, validMs: 2_500, step: 2 });
            expect(split.renewAt).to.equal(11_500);
            tell({ state: "rolled_back", barred: ["v2"] }, 2);
            expect(split.renewAt).to.equal(Infinity);
            return largestShare;
        });
        expect([...new Set(shares)].sort()).to.deep.equal([0, 0.4]);
        expect(shares.reduce((sum, share) => sum + share, 0) / 2_000).to.be.within(0.043, 0.057);
    });

    // Guards against refusals at the ingresses that send all their requests to the target while most others send none:
    // the target may have no free slot, or have been lost, while the other versions serve.
    it("lets the ingresses that take all of a smaller share use other versions as well", () => {
        const taking = Array.from({ length: 30 }, (...[, i]) => {
            split = new VersionSplit(clock, new SeededRandom(1), new MemoryMetrics(), `i${i}`);
            tell({ share: 0.25, part: 0.25, renewMs: 1_500, validMs: 2_500, step: 1 });
            expect(part(v1)).to.equal(1);
            const { largestShare } = split;
            expect(part(v2)).to.equal(largestShare);
            tell({ share: 1, renewMs: 1_500, validMs: 2_500, step: 3 });
            expect(part(v1)).to.equal(0);
            return largestShare;
        });
        expect([...new Set(taking)].sort()).to.deep.equal([0, 1]);
    });

    // Guards against a roll-out that an ingress forgets because it has ended, and is left out of later answers.
    it("keeps what a partial notice leaves out, and takes none of another state", () => {
        tell({ state: "rolled_back", barred: ["v2"] }, 3);
        const other = notice({ target: "v9", share: 1 });
        const tellPartially = (revision: number): void =>
            split.apply({ rollouts: { revision, partial: true, services: { other } }, leading: true }, clock.now());
        tellPartially(4);
        expect(split.reports()).to.equal(undefined);
        tellPartially(3);
        expect(split.reports()).to.have.keys("other");
        expect(parts()).to.deep.equal([1, 1, 0]);
        expect(split.knownRevision).to.equal(3);
    });

    // Guards against a steward that lags behind and brings a version back that was rolled back.
    it("ignores notices of an earlier state", () => {
        tell({ state: "rolled_back", barred: ["v2"] }, 3);
        tell({ share: 1 }, 2);
        expect(parts()).to.deep.equal([1, 1, 0]);
    });

    it("sends nothing to barred versions, in whatever state", () => {
        tell({ state: "completed", barred: ["v0", "v1"] });
        expect(parts()).to.deep.equal([0, 0, 1]);
        tell({ target: "v3", orderedAt: 5_000, barred: ["v0"], share: 0 }, 2);
        expect(parts()).to.deep.equal([0, 1, 1]);
        expect(split.reports()?.app?.orderedAt).to.equal(5_000);
    });

    it("starts a new order for the same service without the share and the counts of the one before", () => {
        tell({ share: 1 });
        split.forRequest("app").recordAsked();
        split.recordArrival("app");
        split.recordArrival("other");
        expect(split.reports()?.app).to.include({ asked: 1, arrived: 1, share: 1 });
        tell({ orderedAt: 2_000 }, 2);
        expect(split.reports()?.app).to.include({ asked: 0, arrived: 0, share: 0 });
    });

    // What two versions write does not fit together, so that a stream goes on at its version or nowhere.
    it("resumes a stream at its version until that gets nothing any more", () => {
        tell({ share: 0.25 });
        expect([part(v1, "v1"), part(v2, "v2")]).to.deep.equal([1, 1]);
        tell({ share: 0 });
        expect([part(v1, "v1"), part(v2, "v2")]).to.deep.equal([1, 0]);
        tell({ share: 1 });
        expect([part(v1, "v1"), part(v2, "v2"), part(v1)]).to.deep.equal([1, 1, 0]);
        tell({ share: 1, closed: true });
        expect([part(v1, "v1"), part(v2, "v2")]).to.deep.equal([0, 1]);
        tell({ state: "rolled_back", barred: ["v2"] }, 2);
        expect([part(v1, "v1"), part(v2, "v2")]).to.deep.equal([1, 0]);
    });

    it("prefers the target's endpoints for requests that may go there while one has a free slot", () => {
        tell({ share: 1 });
        const versions = split.forRequest("app");
        expect(versions.prefer([v1, v2], () => true)).to.deep.equal([v2]);
        expect(versions.prefer([v1, v2], of => of === v1)).to.deep.equal([v1, v2]);
        tell({ share: 0 });
        expect(versions.prefer([v1, v2], () => true)).to.deep.equal([v1, v2]);
    });

    // Guards against results that are lost with a sync, and against syncs that carry all results each time.
    it("reports what has changed since the last report that was answered, with all counts since the order", () => {
        tell({ share: 0.5 });
        split.recordResponse(v1, "r", "answered", 10);
        split.recordResponse(v2, "r", "failed");
        split.recordResponse(v2, "r", "answered");
        const first = split.reports();
        expect(first?.app?.results).to.deep.equal({
            v1: { r: { failed: 0, times: { 13: 1 } } },
            v2: { r: { failed: 1, times: {} } },
        });
        split.recordResponse(v2, "r", "failed");
        expect(split.reports()?.app?.results).to.have.keys("v1", "v2");
        split.acknowledge(first);
        const second = split.reports();
        expect(second?.app?.results).to.deep.equal({ v2: { r: { failed: 2, times: {} } } });
        split.acknowledge(second);
        expect(split.reports()?.app?.results).to.deep.equal({});
        split.acknowledge(first);
        expect(split.reports()?.app?.results).to.deep.equal({});
    });

    it("reads notices of which fields are missing, and none with a share that is no share", () => {
        const parse = (fields: object): unknown =>
            rolloutNoticesSchema.safeParse({
                revision: 1,
                services: { app: { state: "running", target: "v2", orderedAt: 1, ...fields } },
            }).success;
        expect(parse({})).to.equal(true);
        for (const share of [-0.1, 1.1, Infinity, "1", []]) {
            expect(parse({ share })).to.equal(false);
        }
    });
});
