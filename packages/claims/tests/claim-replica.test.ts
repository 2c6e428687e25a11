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
import { issued, key, keyAt, perform, record } from "./support.ts";

const outcome = completedOutcome(201, "application/json", Buffer.from('{"id":7}'));
const claimants = ["a", "b", "c"];
const operation: fc.Arbitrary<ClaimOperation> = fc.oneof(
    fc.constant<ClaimOperation>({ kind: "read" }),
    fc.constant<ClaimOperation>({ kind: "seal" }),
    fc.constantFrom(...claimants).map<ClaimOperation>(name => ({ kind: "write", record: record(name) })),
    fc.constantFrom(...claimants).map<ClaimOperation>(name => ({ kind: "outcome", record: record(name), outcome })),
    fc.constantFrom(...claimants).map<ClaimOperation>(name => ({
        kind: "outcome",
        record: record(name),
        outcome: { kind: "not-run" },
    })),
);
const expectRefusal = (reply: unknown, reason: string) => expect(reply).to.include({ kind: "refused", reason });

describe("ClaimReplica", () => {
    // Guards against a register that changes its holder or its outcome, and against a restart that loses either.
    it("keeps the first record and the first outcome, also over a restore at any point", () => {
        fc.assert(
            fc.property(fc.array(fc.tuple(fc.nat(3), operation)), fc.nat(), (steps, cut) => {
                const replica = new ClaimReplica("r");
                const first = new Map<string, unknown>();
                const records: Uint8Array[] = [];
                let snapshot: Uint8Array | undefined;
                steps.forEach(([n, step], i) => {
                    const name = keyAt(issued, n);
                    const { reply, update } = replica.decide({ replica: "r", key: name, operation: step }, issued);
                    if (update !== undefined) {
                        replica.apply(update);
                        records.push(encodeRegisterUpdate(update));
                    }
                    if (i === cut % steps.length) {
                        snapshot = Buffer.concat([...replica.snapshotChunks()]);
                        records.length = 0;
                    }
                    const register = reply.kind === "register" ? reply.register : undefined;
                    if (register === undefined || register.kind === "empty") {
                        expect(step.kind).to.equal("read");
                        return;
                    }
                    const holder = register.kind === "claimed" ? register.claimant : "sealed";
                    expect(first.get(name) ?? holder).to.equal(holder);
                    first.set(name, holder);
                    const result = register.kind === "claimed" ? register.outcome : undefined;
                    const known = first.get(`${name} outcome`);
                    expect(known ?? result).to.deep.equal(result);
                    first.set(`${name} outcome`, result);
                });
                const restored = new ClaimReplica("r");
                restored.restore(snapshot, records);
                for (const n of [0, 1, 2, 3]) {
                    const read = (of: ClaimReplica) => perform(of, { kind: "read" }, issued, keyAt(issued, n));
                    expect(read(restored)).to.deep.equal(read(replica));
                }
                expect(restored.status).to.deep.equal(replica.status);
            }),
            { seed: 20_261_204, numRuns: 500 },
        );
    });

    // Guards against an emptied replica that counts for a key of the lost disk, and against keys outside their window.
    it("refuses another identity, expired keys, keys ahead of time and keys that are not UUIDv7", () => {
        const replica = new ClaimReplica("r");
        const other = replica.decide({ replica: "old", key, operation: { kind: "read" } }, issued);
        expectRefusal(other.reply, "wrong-identity");
        expectRefusal(perform(replica, { kind: "read" }, issued + RETENTION_MS), "expired");
        expectRefusal(perform(replica, { kind: "read" }, issued - 311_000), "issued-ahead");
        expect(perform(replica, { kind: "read" }, issued - 309_000).kind).to.equal("register");
        const v4 = "0b8f5f0e-3f0a-4c1e-9d3a-111111111111";
        expectRefusal(perform(replica, { kind: "read" }, issued, v4), "invalid-key");
    });

    // Guards against a key that is accepted anew after its record was dropped, when the clock is set back.
    it("refuses keys of dropped records after a restart with an earlier clock", () => {
        const replica = new ClaimReplica("r");
        perform(replica, { kind: "write", record: record("a") });
        expect(replica.expire(issued + RETENTION_MS + 1_200_000)).to.equal(1);
        expect(replica.status).to.include({ records: 0, memoryBytes: 0 });
        const restarted = new ClaimReplica("r");
        restarted.restore(Buffer.concat([...replica.snapshotChunks()]), []);
        expectRefusal(perform(restarted, { kind: "write", record: record("b") }, issued), "expired");
    });

    // Guards against unbounded memory, and against a full table that forgets that a call was completed.
    it("refuses new records at the memory bound and keeps outcomes as digest and status", () => {
        const replica = new ClaimReplica("r", { memoryBytes: RECORD_MEMORY_BYTES + 100 });
        perform(replica, { kind: "write", record: record("a") });
        expectRefusal(perform(replica, { kind: "write", record: record("b") }, issued, keyAt(issued, 1)), "full");
        const large = completedOutcome(200, "text/plain", Buffer.alloc(1_000));
        const reply = perform(replica, { kind: "outcome", record: record("a"), outcome: large });
        expect(reply).to.have.nested.property("register.outcome.bodyDigest", large.bodyDigest);
        expect(reply).to.have.nested.property("register.outcome.body", undefined);
        expect(completedOutcome(200, "text/plain", Buffer.alloc(65_536)).body).to.have.length(65_536);
        expect(completedOutcome(200, "text/plain", Buffer.alloc(65_537))).to.include({
            bodyBytes: 65_537,
            body: undefined,
        });
    });
});

class HeldStorage extends ClaimStorage {
    readonly waiting: { record: Uint8Array; resolve: (index: number) => void; reject: (err: Error) => void; }[] = [];

    override append(data: Uint8Array): Promise<number> {
        return new Promise((resolve, reject) => this.waiting.push({ record: data, resolve, reject }));
    }
}

describe("DurableClaimReplica", () => {
    const turn = () => new Promise(resolve => setImmediate(resolve));
    const message = (step: ClaimOperation) => ({ replica: "r", key, operation: step });

    // Guards against a reply that shows a record which a crash can still take away.
    it("replies after the sync, also to reads of the same key", async () => {
        const storage = new HeldStorage();
        const replica = new DurableClaimReplica(new ClaimReplica("r"), storage, new ManualClock(issued));
        const order: string[] = [];
        void replica.handle(message({ kind: "write", record: record("a") })).then(() => order.push("write"));
        void replica.handle(message({ kind: "read" })).then(reply => order.push(JSON.stringify(reply)));
        await turn();
        expect(order).to.deep.equal([]);
        storage.waiting[0]!.resolve(4);
        await turn();
        expect(order[0]).to.equal("write");
        expect(order[1]).to.contain('"claimant":"a"');
        expect(replica.appliedIndex).to.equal(4);
    });

    // Guards against a record in memory that the disk refused.
    it("refuses with storage and keeps the register empty when the append fails", async () => {
        const storage = new HeldStorage();
        const replica = new DurableClaimReplica(new ClaimReplica("r"), storage, new ManualClock(issued));
        const first = replica.handle(message({ kind: "write", record: record("a") }));
        const second = replica.handle(message({ kind: "write", record: record("b") }));
        await turn();
        storage.waiting[0]!.reject(new Error("disk full"));
        expectRefusal(await first, "storage");
        await turn();
        expect(decodeRegisterUpdate(storage.waiting[1]!.record).register).to.include({ claimant: "b" });
        storage.waiting[1]!.resolve(1);
        expect(await second).to.have.nested.property("register.claimant", "b");
    });

    // Guards against a key that waits for ever after a storage that throws before it returns a promise.
    it("answers later messages after a storage that throws at once", async () => {
        class ThrowingStorage extends ClaimStorage {
            override append(): Promise<number> {
                throw new Error("closed");
            }
        }
        const replica = new DurableClaimReplica(new ClaimReplica("r"), new ThrowingStorage(), new ManualClock(issued));
        expectRefusal(await replica.handle(message({ kind: "seal" })), "storage");
        expectRefusal(await replica.handle(message({ kind: "seal" })), "storage");
    });
});
