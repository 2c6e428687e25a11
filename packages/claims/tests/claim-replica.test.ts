import type { ClaimOperation } from "@lentilramp/claims";
import {
    ClaimReplica,
    ClaimStorage,
    completedOutcome,
    decodeRegisterUpdate,
    DurableClaimReplica,
    encodeRegisterUpdate,
    RECORD_MEMORY_BYTES,
    RETENTION_MS,
} from "@lentilramp/claims";
import { ManualClock } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";
import { claimRecord, decideAndApply, issuedAt, key, keyAt } from "./support.ts";

const outcome = completedOutcome(201, "application/json", Buffer.from('{"id":7}'));
const claimants = ["a", "b", "c"];
const operation: fc.Arbitrary<ClaimOperation> = fc.oneof(
    fc.constant<ClaimOperation>({ kind: "read" }),
    fc.constant<ClaimOperation>({ kind: "seal" }),
    fc.constantFrom(...claimants).map<ClaimOperation>(claimant => ({ kind: "write", record: claimRecord(claimant) })),
    fc.constantFrom(...claimants).map<ClaimOperation>(claimant => ({
        kind: "outcome",
        record: claimRecord(claimant),
        outcome,
    })),
    fc.constantFrom(...claimants).map<ClaimOperation>(claimant => ({
        kind: "outcome",
        record: claimRecord(claimant),
        outcome: { kind: "not-run" },
    })),
);
const expectRefusal = (reply: unknown, reason: string) => expect(reply).to.include({ kind: "refused", reason });

describe("ClaimReplica", () => {
    it("neither replaces the first record or outcome of a register nor loses it in a restore", () => {
        fc.assert(
            fc.property(fc.array(fc.tuple(fc.nat(3), operation)), fc.nat(), (steps, snapshotStep) => {
                const replica = new ClaimReplica("r");
                const expected = new Map<string, unknown>();
                const records: Uint8Array[] = [];
                let snapshot: Uint8Array | undefined;
                steps.forEach(([n, step], i) => {
                    const keyText = keyAt(issuedAt, n);
                    const { reply, update } = replica.decide({ replica: "r", key: keyText, operation: step }, issuedAt);
                    if (update !== undefined) {
                        replica.apply(update);
                        records.push(encodeRegisterUpdate(update));
                    }
                    if (i === snapshotStep % steps.length) {
                        snapshot = Buffer.concat([...replica.snapshotChunks()]);
                        records.length = 0;
                    }
                    const register = reply.kind === "register" ? reply.register : undefined;
                    if (register === undefined || register.kind === "empty") {
                        expect(step.kind).to.equal("read");
                        return;
                    }
                    const holder = register.kind === "claimed" ? register.claimant : "sealed";
                    expect(expected.get(keyText) ?? holder).to.equal(holder);
                    expected.set(keyText, holder);
                    const outcomeInReply = register.kind === "claimed" ? register.outcome : undefined;
                    const expectedOutcome = expected.get(`${keyText} outcome`);
                    expect(expectedOutcome ?? outcomeInReply).to.deep.equal(outcomeInReply);
                    expected.set(`${keyText} outcome`, outcomeInReply);
                });
                const restored = new ClaimReplica("r");
                restored.restore(snapshot, records);
                for (const n of [0, 1, 2, 3]) {
                    const read = (target: ClaimReplica) =>
                        decideAndApply(target, { kind: "read" }, issuedAt, keyAt(issuedAt, n));
                    expect(read(restored)).to.deep.equal(read(replica));
                }
                expect(restored.status).to.deep.equal(replica.status);
            }),
            { seed: 20_261_204, numRuns: 500 },
        );
    });

    // A replica that lost its disk starts empty under a new identity and must not count for its earlier keys.
    it("does not answer for another identity or for keys outside their validity window", () => {
        const replica = new ClaimReplica("r");
        const decision = replica.decide({ replica: "old", key, operation: { kind: "read" } }, issuedAt);
        expectRefusal(decision.reply, "wrong-identity");
        expectRefusal(decideAndApply(replica, { kind: "read" }, issuedAt + RETENTION_MS), "expired");
        expectRefusal(decideAndApply(replica, { kind: "read" }, issuedAt - 311_000), "issued-ahead");
        expect(decideAndApply(replica, { kind: "read" }, issuedAt - 309_000).kind).to.equal("register");
        const v4 = "0b8f5f0e-3f0a-4c1e-9d3a-111111111111";
        expectRefusal(decideAndApply(replica, { kind: "read" }, issuedAt, v4), "invalid-key");
    });

    it("does not accept the key of a dropped record again when the clock is set back before a restart", () => {
        const replica = new ClaimReplica("r");
        decideAndApply(replica, { kind: "write", record: claimRecord("a") });
        expect(replica.expire(issuedAt + RETENTION_MS + 1_200_000)).to.equal(1);
        expect(replica.status).to.include({ records: 0, memoryBytes: 0 });
        const restarted = new ClaimReplica("r");
        restarted.restore(Buffer.concat([...replica.snapshotChunks()]), []);
        expectRefusal(decideAndApply(restarted, { kind: "write", record: claimRecord("b") }, issuedAt), "expired");
    });

    it("neither exceeds the memory limit nor drops the outcome of a call when memory is short", () => {
        const replica = new ClaimReplica("r", { memoryBytes: RECORD_MEMORY_BYTES + 100 });
        decideAndApply(replica, { kind: "write", record: claimRecord("a") });
        expectRefusal(
            decideAndApply(replica, { kind: "write", record: claimRecord("b") }, issuedAt, keyAt(issuedAt, 1)),
            "full",
        );
        const large = completedOutcome(200, "text/plain", Buffer.alloc(1_000));
        const reply = decideAndApply(replica, { kind: "outcome", record: claimRecord("a"), outcome: large });
        expect(reply).to.have.nested.property("register.outcome.bodyDigest", large.bodyDigest);
        expect(reply).to.have.nested.property("register.outcome.body", undefined);
        expect(completedOutcome(200, "text/plain", Buffer.alloc(65_536)).body).to.have.length(65_536);
        expect(completedOutcome(200, "text/plain", Buffer.alloc(65_537))).to.include({
            bodyBytes: 65_537,
            body: undefined,
        });
    });
});

class ManualStorage extends ClaimStorage {
    readonly appends: { record: Uint8Array; resolve: (index: number) => void; reject: (err: Error) => void; }[] = [];

    override append(data: Uint8Array): Promise<number> {
        return new Promise((resolve, reject) => this.appends.push({ record: data, resolve, reject }));
    }
}

describe("DurableClaimReplica", () => {
    const nextTurn = () => new Promise(resolve => setImmediate(resolve));
    const message = (step: ClaimOperation) => ({ replica: "r", key, operation: step });

    it("does not reply with a record that a crash can still lose, also not to a read of the same key", async () => {
        const storage = new ManualStorage();
        const replica = new DurableClaimReplica(new ClaimReplica("r"), storage, new ManualClock(issuedAt));
        const order: string[] = [];
        void replica.handle(message({ kind: "write", record: claimRecord("a") })).then(() => order.push("write"));
        void replica.handle(message({ kind: "read" })).then(reply => order.push(JSON.stringify(reply)));
        await nextTurn();
        expect(order).to.deep.equal([]);
        storage.appends[0]!.resolve(4);
        await nextTurn();
        expect(order[0]).to.equal("write");
        expect(order[1]).to.contain('"claimant":"a"');
        expect(replica.appliedIndex).to.equal(4);
    });

    it("does not keep a record in memory when the storage fails to append it", async () => {
        const storage = new ManualStorage();
        const replica = new DurableClaimReplica(new ClaimReplica("r"), storage, new ManualClock(issuedAt));
        const first = replica.handle(message({ kind: "write", record: claimRecord("a") }));
        const second = replica.handle(message({ kind: "write", record: claimRecord("b") }));
        await nextTurn();
        storage.appends[0]!.reject(new Error("disk full"));
        expectRefusal(await first, "storage");
        await nextTurn();
        expect(decodeRegisterUpdate(storage.appends[1]!.record).register).to.include({ claimant: "b" });
        storage.appends[1]!.resolve(1);
        expect(await second).to.have.nested.property("register.claimant", "b");
    });

    it("does not block a key forever when the storage throws before it returns a promise", async () => {
        class ThrowingStorage extends ClaimStorage {
            override append(): Promise<number> {
                throw new Error("closed");
            }
        }
        const replica = new DurableClaimReplica(
            new ClaimReplica("r"),
            new ThrowingStorage(),
            new ManualClock(issuedAt),
        );
        expectRefusal(await replica.handle(message({ kind: "seal" })), "storage");
        expectRefusal(await replica.handle(message({ kind: "seal" })), "storage");
    });
});
