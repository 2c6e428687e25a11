import type { ClaimMessage } from "@lentilramp/claims";
import {
    ClaimReplica,
    ClaimStorage,
    completedOutcome,
    decodeRegisterUpdate,
    DurableClaimReplica,
    encodeRegisterUpdate,
    RECORD_MEMORY_BYTES,
    requestDigest,
} from "@lentilramp/claims";
import type { Journal } from "@lentilramp/journal";
import { DataFolder, NodeFileAccess } from "@lentilramp/journal";
import { SeededRandom, SystemClock } from "@lentilramp/runtime";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { v7 } from "uuid";
import type { ExperimentResult, SeriesPoint } from "../experiment.ts";
import { atMost, Experiment } from "../experiment.ts";
import { folderBytes, quantile, withTemporaryFolder } from "./temporary-folder.ts";

const concurrencies = [1, 8, 64, 512] as const;
/** Claims at each concurrency; prepared before the measurement, since an entry builds them. */
const preparedClaims = { 1: 5_000, 8: 20_000, 64: 50_000, 512: 100_000 } as const;
const heapRecords = 200_000;
/** A heartbeat interval: the claim replica shares the event loop with the agreement voter. */
const longestChunkMs = 100;
/** Size of the body of a booking answer. */
const outcomeBodyBytes = 200;

class JournalStorage extends ClaimStorage {
    constructor(private readonly journal: Journal) {
        super();
    }

    override append(record: Uint8Array): Promise<number> {
        return this.journal.append(record);
    }
}

class MessageSource {
    private count = 0;

    constructor(private readonly random: SeededRandom, private readonly replica: string) {}

    next(): ClaimMessage {
        this.count++;
        const msecs = Date.now();
        const bytes = Uint8Array.from({ length: 16 }, () => this.random.nextInt(256));
        const record = {
            claimant: `entry-${this.count % 8}/${v7({ msecs, random: bytes })}`,
            digest: requestDigest("book", bytes),
            dispatchDeadline: msecs + 2_000,
        };
        const key = v7({ msecs, random: Uint8Array.from(bytes, byte => 255 - byte), seq: this.count });
        return { replica: this.replica, key, operation: { kind: "write", record } };
    }
}

async function measureWrites(seed: number, concurrency: keyof typeof preparedClaims): Promise<SeriesPoint> {
    return withTemporaryFolder(async path => {
        const folder = await DataFolder.open(new NodeFileAccess(), path);
        const { journal } = await folder.openJournal("claims");
        const clock = new SystemClock();
        const replica = new DurableClaimReplica(
            new ClaimReplica(folder.identity),
            new JournalStorage(journal),
            clock,
        );
        const source = new MessageSource(new SeededRandom(seed), folder.identity);
        const messages = Array.from({ length: preparedClaims[concurrency] }, () => source.next());
        const latencies: number[] = [];
        const start = performance.now();
        const writeUntilEnd = async () => {
            for (let message = messages.pop(); message !== undefined; message = messages.pop()) {
                const sent = performance.now();
                const reply = await replica.handle(message);
                if (reply.kind !== "register") {
                    throw new Error(`claim refused: ${reply.reason}`);
                }
                latencies.push(performance.now() - sent);
            }
        };
        await Promise.all(Array.from({ length: concurrency }, writeUntilEnd));
        const seconds = (performance.now() - start) / 1_000;
        const syncs = journal.syncs;
        await journal.close();
        const diskBytes = await folderBytes(join(path, "claims"));
        await folder.close();
        return {
            variant: "group commit",
            setting: { concurrency, claims: latencies.length },
            figures: {
                claimsPerSecond: latencies.length / seconds,
                claimsPerSync: latencies.length / syncs,
                medianMs: quantile(latencies, 0.5),
                p99Ms: quantile(latencies, 0.99),
                diskBytesPerRecord: diskBytes / latencies.length,
            },
        };
    });
}

function usedBytes(): number {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

/** Measures the growth of heap and buffers for each record, decoded as after a restart. */
function measureMemory(seed: number, withOutcome: boolean): SeriesPoint {
    const source = new MessageSource(new SeededRandom(seed), "r");
    const replica = new ClaimReplica("r");
    const before = usedBytes();
    let encodedBytes = 0;
    for (let i = 0; i < heapRecords; i++) {
        const { key, operation } = source.next();
        if (operation.kind !== "write") {
            throw new Error("the source gives claim writes only");
        }
        const outcome = withOutcome
            ? completedOutcome(201, "application/json", Buffer.alloc(outcomeBodyBytes, i % 256))
            : undefined;
        const encoded = encodeRegisterUpdate({ key, register: { kind: "claimed", ...operation.record, outcome } });
        encodedBytes += encoded.length;
        replica.apply(decodeRegisterUpdate(encoded));
    }
    const memoryBytes = usedBytes() - before;
    const chunkTimes: number[] = [];
    const chunks: Uint8Array[] = [];
    let last = performance.now();
    for (const chunk of replica.snapshotChunks()) {
        chunks.push(chunk);
        chunkTimes.push(performance.now() - last);
        last = performance.now();
    }
    const snapshot = Buffer.concat(chunks);
    const start = performance.now();
    new ClaimReplica("r").restore(snapshot, []);
    const restoreMs = performance.now() - start;
    return {
        variant: withOutcome ? "with outcome" : "claim only",
        setting: { heapRecords, outcomeBodyBytes: withOutcome ? outcomeBodyBytes : 0 },
        figures: {
            memoryBytesPerRecord: memoryBytes / replica.status.records,
            countedBytesPerRecord: replica.status.memoryBytes / replica.status.records,
            encodedBytesPerRecord: encodedBytes / heapRecords,
            snapshotMs: chunkTimes.reduce((a, b) => a + b, 0),
            snapshotChunkP99Ms: quantile(chunkTimes, 0.99),
            snapshotChunkMaxMs: Math.max(...chunkTimes),
            restoreMs,
        },
    };
}

/** Cost of claim writes at one replica, on real files. */
export class ClaimCostExperiment extends Experiment {
    override readonly name = "claim-cost";
    override readonly description = "claims/s of one replica with group commit, and bytes for each record";
    override readonly reproducible = false;

    override async run(seed: number): Promise<ExperimentResult> {
        const points: SeriesPoint[] = [];
        for (const concurrency of concurrencies) {
            points.push(await measureWrites(seed, concurrency));
        }
        const memory = [false, true].map(withOutcome => measureMemory(seed, withOutcome));
        const longestChunk = Math.max(...memory.map(point => point.figures.snapshotChunkMaxMs as number));
        const overCounted = Math.max(
            ...memory.map(point =>
                (point.figures.memoryBytesPerRecord as number) / (point.figures.countedBytesPerRecord as number)
            ),
        );
        return {
            experiment: this.name,
            seed,
            settings: { heapRecords, countedBytes: RECORD_MEMORY_BYTES },
            points: [...points, ...memory],
            targets: [
                atMost("longest snapshot chunk", longestChunkMs, longestChunk, "ms"),
                atMost("memory for each record against the counted memory", 1, overCounted, "times"),
            ],
        };
    }
}
