import type { ClaimResult } from "@lentilramp/claims";
import { completedOutcome, RETENTION_MS } from "@lentilramp/claims";
import { expect } from "chai";
import { buildCoordinator, claimRecord, decideAndApply, issuedAt, key, keyAt, runUntil } from "./support.ts";

const req = (digest = "d") => ({ key, digest, deadline: issuedAt + 2_000 });

function claimOf(result: ClaimResult) {
    expect(result.kind).to.equal("claimed");
    return (result as ClaimResult & { kind: "claimed"; }).claim;
}

describe("ClaimCoordinator", () => {
    it("neither dispatches a repeated request again nor returns another answer than the first", async () => {
        const { clock, coordinator } = buildCoordinator();
        const claim = claimOf(await runUntil(clock, coordinator.claim(req())));
        expect((await runUntil(clock, coordinator.claim(req()))).kind).to.equal("in-progress");
        expect(claim.beginDispatch()).to.equal("dispatch");
        expect(claim.beginDispatch()).to.equal("already-dispatched");
        const body = Uint8Array.from([0, 255, 13, 10]);
        expect(await runUntil(clock, claim.complete(completedOutcome(201, "x/y", body)))).to.equal(true);
        const copy = await runUntil(clock, coordinator.claim(req()));
        expect(copy).to.have.nested.property("outcome.status", 201);
        expect(copy).to.have.nested.property("outcome.body").that.deep.equals(body);
        expect((await runUntil(clock, coordinator.claim(req("other")))).kind).to.equal("key-reused");
    });

    // The answer of the other body is found only while the claimant withdraws its claim.
    it("does not return the answer of another body when it is found only after the claim deadline", async () => {
        const { clock, transport, coordinator } = buildCoordinator();
        transport.unreachable.add(1).add(2);
        const otherOutcome = {
            kind: "outcome" as const,
            record: claimRecord("b", "other"),
            outcome: completedOutcome(200, "", Buffer.from("b")),
        };
        [1, 2].forEach(i => decideAndApply(transport.replicas[i]!, otherOutcome));
        const result = coordinator.claim(req());
        clock.schedule(issuedAt + 1_050, () => transport.unreachable.clear());
        expect((await runUntil(clock, result)).kind).to.equal("key-reused");
    });

    it("does not report key-reused for the body with a quorum when the first reply shows another body", async () => {
        const { clock, transport, coordinator } = buildCoordinator();
        decideAndApply(transport.replicas[0]!, { kind: "write", record: claimRecord("minority", "other") });
        transport.replicas.slice(1).forEach(r => decideAndApply(r, { kind: "write", record: claimRecord("majority") }));
        expect((await runUntil(clock, coordinator.claim(req()))).kind).to.equal("in-progress");
        expect((await runUntil(clock, coordinator.claim(req("other")))).kind).to.equal("key-reused");
    });

    it("neither dispatches nor leaves the claim open when deadline or permit end before the dispatch", async () => {
        for (const reason of ["too-late", "no-permit"] as const) {
            const { clock, coordinator, permit } = buildCoordinator();
            const claim = claimOf(await runUntil(clock, coordinator.claim(req())));
            permit.valid = reason === "too-late";
            clock.advanceTo(reason === "too-late" ? issuedAt + 2_000 : issuedAt + 10);
            expect(claim.beginDispatch()).to.equal(reason);
            await runUntil(clock, clock.sleepUntil(clock.now() + 10));
            expect((await runUntil(clock, coordinator.query(key, issuedAt + 9_000))).kind).to.equal("not-run");
        }
    });

    // The call is refused as undecided, so a written claim would block the key for the next attempt.
    it("writes no claim that blocks the key when there is no permit or no time left", async () => {
        const { clock, transport, coordinator, permit } = buildCoordinator();
        permit.valid = false;
        expect(await coordinator.claim(req())).to.deep.equal({ kind: "undecided", reason: "no-permit" });
        permit.valid = true;
        expect(await coordinator.claim({ ...req(), deadline: clock.now() + 100 })).to.include({ reason: "deadline" });
        expect(transport.sentCount).to.equal(0);
    });

    it("returns no final state while a claimant can still reach a quorum at unreachable replicas", async () => {
        const { clock, transport, coordinator } = buildCoordinator();
        transport.unreachable.add(1).add(2);
        expect((await runUntil(clock, coordinator.claim(req()))).kind).to.equal("unknown");
        expect(clock.now()).to.be.at.most(issuedAt + 2_000);
        expect((await runUntil(clock, coordinator.seal(key, issuedAt + 3_000))).kind).to.equal("unknown");
        transport.unreachable.delete(1);
        expect(await runUntil(clock, coordinator.query(key, issuedAt + 4_000))).to.deep.equal({
            kind: "unknown",
            sealable: true,
        });
        expect((await runUntil(clock, coordinator.seal(key, issuedAt + 5_000))).kind).to.equal("not-run");
        transport.unreachable.clear();
        expect((await runUntil(clock, coordinator.claim({ ...req(), deadline: issuedAt + 9_000 }))).kind).to
            .equal(
                "not-run",
            );
    });

    it("does not leave three claimants waiting forever when each of them holds one replica", async () => {
        const { clock, transport, coordinator } = buildCoordinator();
        transport.replicas.forEach((replica, i) =>
            decideAndApply(replica, { kind: "write", record: claimRecord(`other-${i}`) })
        );
        expect((await runUntil(clock, coordinator.query(key, issuedAt + 1_000))).kind).to.equal("not-run");
        expect((await runUntil(clock, coordinator.claim(req()))).kind).to.equal("not-run");
    });

    it("does not report in-progress past the dispatch deadline when the claimant has crashed", async () => {
        const { clock, transport, coordinator } = buildCoordinator();
        transport.replicas.slice(1).forEach(replica =>
            decideAndApply(replica, { kind: "write", record: claimRecord("crashed") })
        );
        expect((await runUntil(clock, coordinator.query(key, issuedAt + 1_000))).kind).to.equal("in-progress");
        clock.advanceTo(issuedAt + 5_001);
        expect(await runUntil(clock, coordinator.seal(key, issuedAt + 7_000))).to.deep.equal({
            kind: "unknown",
            sealable: false,
        });
    });

    // The record of an expired key may be dropped, and entries may not yet agree on the replicas of a later key.
    it("sends no claim for a key outside its validity window", async () => {
        const { clock, transport, coordinator } = buildCoordinator();
        expect(await coordinator.claim({ ...req(), key: "x" })).to.include({ reason: "invalid-key" });
        expect(await coordinator.claim({ ...req(), key: keyAt(issuedAt + 300_001) })).to.include({
            reason: "issued-ahead",
        });
        clock.advanceTo(issuedAt + RETENTION_MS);
        expect(await coordinator.claim({ ...req(), deadline: Infinity })).to.include({ reason: "expired" });
        expect(transport.sentCount).to.equal(0);
    });
});
