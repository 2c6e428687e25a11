import { ClaimReplica, ClaimStorage, completedOutcome, DurableClaimReplica } from "@lentilramp/claims";
import { DiskFullError, Journal } from "@lentilramp/journal";
import { ManualClock, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";
import { FaultyFiles } from "../../journal/tests/faulty-files.ts";
import { claimRecord, issuedAt, keyAt } from "./support.ts";

class JournalStorage extends ClaimStorage {
    constructor(private readonly journal: Journal) {
        super();
    }

    override append(data: Uint8Array): Promise<number> {
        return this.journal.append(data);
    }
}

async function startReplica(files: FaultyFiles): Promise<{ journal: Journal; replica: DurableClaimReplica; }> {
    const { journal, contents } = await Journal.open(files, "/data/claims", { segmentBytes: 600 });
    const table = new ClaimReplica("r");
    table.restore(contents.snapshot?.payload, contents.records.map(entry => entry.payload));
    const clock = new ManualClock(issuedAt);
    return { journal, replica: new DurableClaimReplica(table, new JournalStorage(journal), clock, journal.lastIndex) };
}

const outcome = completedOutcome(201, "text/plain", Buffer.from("booked"));

function expectState(restarted: { replica: DurableClaimReplica; }, target: DurableClaimReplica): void {
    for (let n = 0; n <= 5; n++) {
        const read = { replica: "r", key: keyAt(issuedAt, n), operation: { kind: "read" as const } };
        const replies = [restarted.replica, target].map(durable => durable.replica.decide(read, issuedAt).reply);
        expect(replies[0]).to.deep.equal(replies[1]);
    }
}

describe("DurableClaimReplica on a journal", () => {
    it("neither loses nor reassigns an acknowledged claim over power losses, full disks and snapshots", async () => {
        const step = fc.record({ n: fc.nat(5), claimant: fc.constantFrom("a", "b"), fault: fc.nat(12) });
        await fc.assert(
            fc.asyncProperty(fc.array(step, { maxLength: 30 }), fc.integer(), async (steps, seed) => {
                const random = new SeededRandom(seed);
                let files = new FaultyFiles();
                let { journal, replica } = await startReplica(files);
                const holders = new Map<string, string>();
                for (const { n, claimant, fault } of steps) {
                    files.faults.freeBytes = fault === 0 ? random.nextInt(150) : Infinity;
                    const key = keyAt(issuedAt, n);
                    const operation = { kind: "write" as const, record: claimRecord(claimant) };
                    const reply = await replica.handle({ replica: "r", key, operation });
                    if (reply.kind === "register") {
                        expect(reply.register).to.have.property("claimant").that.equals(
                            holders.get(key) ?? (reply.register as { claimant: string; }).claimant,
                        );
                        holders.set(key, (reply.register as { claimant: string; }).claimant);
                    }
                    if (fault === 1) {
                        // Updates that are applied between two chunks must be restored as well.
                        const target = replica;
                        const snapshot = await target.takeSnapshot(async () => {
                            const changed = { kind: "outcome" as const, record: claimRecord(claimant), outcome };
                            await target.handle({ replica: "r", key, operation: changed });
                        });
                        await journal.saveSnapshot(snapshot.chunks, snapshot.throughIndex).catch((err: unknown) => {
                            expect(err).to.be.instanceOf(DiskFullError);
                        });
                        expectState(await startReplica(files.crash(() => false)), target);
                    }
                    if (fault === 2 || fault === 3) {
                        files = files.crash(() => random.next() < 0.5);
                        ({ journal, replica } = await startReplica(files));
                    }
                }
            }),
            { seed: 20_261_204, numRuns: 300 },
        );
    });
});
