import type { ClaimResult } from "@lentilramp/claims";
import { completedOutcome, RETENTION_MS } from "@lentilramp/claims";
import { expect } from "chai";
import { build, issued, key, keyAt, perform, record, settle } from "./support.ts";

const req = (digest = "d") => ({ key, digest, deadline: issued + 2_000 });

function claimOf(result: ClaimResult) {
    expect(result.kind).to.equal("claimed");
    return (result as ClaimResult & { kind: "claimed"; }).claim;
}

describe("ClaimCoordinator", () => {
    // Guards against a duplicate that is executed or gets another answer than the first.
    it("gives the first answer byte for byte to a later copy", async () => {
        const { clock, coordinator } = build();
        const claim = claimOf(await settle(clock, coordinator.claim(req())));
        expect((await settle(clock, coordinator.claim(req()))).kind).to.equal("in-progress");
        expect(claim.beginDispatch()).to.equal("dispatch");
        expect(claim.beginDispatch()).to.equal("already-dispatched");
        const body = Uint8Array.from([0, 255, 13, 10]);
        expect(await settle(clock, claim.complete(completedOutcome(201, "x/y", body)))).to.equal(true);
        const copy = await settle(clock, coordinator.claim(req()));
        expect(copy).to.have.nested.property("outcome.status", 201);
        expect(copy).to.have.nested.property("outcome.body").that.deep.equals(body);
        expect((await settle(clock, coordinator.claim(req("other")))).kind).to.equal("key-reused");
    });

    // Guards against the answer of another body for a claimant that finds it only while it gives up its own claim.
    it("refuses a reused key that shows itself only after the claim deadline", async () => {
        const { clock, transport, coordinator } = build();
        transport.blocked.add(1).add(2);
        const winner = {
            kind: "outcome" as const,
            record: record("b", "other"),
            outcome: completedOutcome(200, "", Buffer.from("b")),
        };
        [1, 2].forEach(i => perform(transport.replicas[i]!, winner));
        const result = coordinator.claim(req());
        clock.schedule(issued + 1_050, () => transport.blocked.clear());
        expect((await settle(clock, result)).kind).to.equal("key-reused");
    });

    // Guards against key-reused for a copy of the winning body because the first reply shows a loser with another one.
    it("lets the digest of the winner decide", async () => {
        const { clock, transport, coordinator } = build();
        perform(transport.replicas[0]!, { kind: "write", record: record("loser", "other") });
        transport.replicas.slice(1).forEach(r => perform(r, { kind: "write", record: record("winner") }));
        expect((await settle(clock, coordinator.claim(req()))).kind).to.equal("in-progress");
        expect((await settle(clock, coordinator.claim(req("other")))).kind).to.equal("key-reused");
    });

    // Guards against work sent after the deadline or without a permit, and against a claim that then stays open.
    it("answers not-run when the deadline or the permit has passed between claim and dispatch", async () => {
        for (const reason of ["too-late", "no-permit"] as const) {
            const { clock, coordinator, permit } = build();
            const claim = claimOf(await settle(clock, coordinator.claim(req())));
            permit.valid = reason === "too-late";
            clock.advanceTo(reason === "too-late" ? issued + 2_000 : issued + 10);
            expect(claim.beginDispatch()).to.equal(reason);
            await settle(clock, clock.sleepUntil(clock.now() + 10));
            expect((await settle(clock, coordinator.query(key, issued + 9_000))).kind).to.equal("not-run");
        }
    });

    // Guards against writing a claim that blocks the key although the call is refused.
    it("answers undecided without sending anything when it has no permit or no time", async () => {
        const { clock, transport, coordinator, permit } = build();
        permit.valid = false;
        expect(await coordinator.claim(req())).to.deep.equal({ kind: "undecided", reason: "no-permit" });
        permit.valid = true;
        expect(await coordinator.claim({ ...req(), deadline: clock.now() + 100 })).to.include({ reason: "deadline" });
        expect(transport.sent).to.equal(0);
    });

    // Guards against a final answer while a claimant can still win with the replicas that did not answer.
    it("answers unknown with one replica, then not-run or the state once two answer", async () => {
        const { clock, transport, coordinator } = build();
        transport.blocked.add(1).add(2);
        expect((await settle(clock, coordinator.claim(req()))).kind).to.equal("unknown");
        expect(clock.now()).to.be.at.most(issued + 2_000);
        expect((await settle(clock, coordinator.seal(key, issued + 3_000))).kind).to.equal("unknown");
        transport.blocked.delete(1);
        expect(await settle(clock, coordinator.query(key, issued + 4_000))).to.deep.equal({
            kind: "unknown",
            sealable: true,
        });
        expect((await settle(clock, coordinator.seal(key, issued + 5_000))).kind).to.equal("not-run");
        transport.blocked.clear();
        expect((await settle(clock, coordinator.claim({ ...req(), deadline: issued + 9_000 }))).kind).to.equal(
            "not-run",
        );
    });

    // Guards against three claimants that wait for each other for ever.
    it("answers not-run for three different first records", async () => {
        const { clock, transport, coordinator } = build();
        transport.replicas.forEach((replica, i) => perform(replica, { kind: "write", record: record(`other-${i}`) }));
        expect((await settle(clock, coordinator.query(key, issued + 1_000))).kind).to.equal("not-run");
        expect((await settle(clock, coordinator.claim(req()))).kind).to.equal("not-run");
    });

    // Guards against in-progress for ever when the claimant died.
    it("answers in-progress until the dispatch deadline of the holder and unknown after it", async () => {
        const { clock, transport, coordinator } = build();
        transport.replicas.slice(1).forEach(replica => perform(replica, { kind: "write", record: record("dead") }));
        expect((await settle(clock, coordinator.query(key, issued + 1_000))).kind).to.equal("in-progress");
        clock.advanceTo(issued + 5_001);
        expect(await settle(clock, coordinator.seal(key, issued + 7_000))).to.deep.equal({
            kind: "unknown",
            sealable: false,
        });
    });

    // Guards against keys whose record may be gone, or whose replicas are not yet agreed on.
    it("refuses keys outside their window without sending anything", async () => {
        const { clock, transport, coordinator } = build();
        expect(await coordinator.claim({ ...req(), key: "x" })).to.include({ reason: "invalid-key" });
        expect(await coordinator.claim({ ...req(), key: keyAt(issued + 300_001) })).to.include({
            reason: "issued-ahead",
        });
        clock.advanceTo(issued + RETENTION_MS);
        expect(await coordinator.claim({ ...req(), deadline: Infinity })).to.include({ reason: "expired" });
        expect(transport.sent).to.equal(0);
    });
});
