import {
    type ClaimMessage,
    ClaimReplica,
    type ClaimReply,
    ClaimStorage,
    DurableClaimReplica,
    snapshotDue,
} from "@lentilramp/claims";
import type { DataFolder, Journal } from "@lentilramp/journal";
import { claimMessageSchema, encodeClaimValue, type RpcServer } from "@lentilramp/protocol";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";

const maintenanceIntervalMs = 1_000;

class JournalClaimStorage extends ClaimStorage {
    constructor(private readonly journal: Journal) {
        super();
    }

    override append(record: Uint8Array): Promise<number> {
        return this.journal.append(record);
    }
}

/** Claim replica of a control process with its journal, expiry, snapshots and JSON-RPC methods. */
export class ClaimService extends PeriodicComponent {
    readonly name = "claims";
    /** Journal index through which the last snapshot reaches. */
    private lastSnapshotIndex: number;

    private constructor(
        private readonly durableReplica: DurableClaimReplica,
        private readonly journal: Journal,
        clock: Clock,
        private readonly log: EventLog,
        recordsSinceSnapshot: number,
    ) {
        super(clock, maintenanceIntervalMs);
        this.lastSnapshotIndex = journal.lastIndex - recordsSinceSnapshot;
    }

    /** Opens the journal of the data folder and restores the replica from its snapshot and records. */
    static async open(folder: DataFolder, clock: Clock, log: EventLog): Promise<ClaimService> {
        const { journal, contents } = await folder.openJournal("claims");
        const replica = new ClaimReplica(folder.identity);
        replica.restore(contents.snapshot?.payload, contents.records.map(record => record.payload));
        const durableReplica = new DurableClaimReplica(
            replica,
            new JournalClaimStorage(journal),
            clock,
            journal.lastIndex,
        );
        if (contents.tornTail !== undefined) {
            log.warn("journal.torn-tail", { journal: "claims" });
        }
        return new ClaimService(durableReplica, journal, clock, log, contents.records.length);
    }

    get status(): ClaimReplica["status"] {
        return this.durableReplica.replica.status;
    }

    /** Registers the methods `claim.write`, `claim.outcome`, `claim.seal` and `claim.read`. */
    attach(server: RpcServer): void {
        for (const kind of ["write", "outcome", "seal", "read"] as const) {
            server.method(
                `claim.${kind}`,
                claimMessageSchema,
                async message => encodeClaimValue(await this.handle(message)),
            );
        }
    }

    override async close(): Promise<void> {
        await super.close();
        await this.journal.close();
    }

    private async handle(message: ClaimMessage): Promise<ClaimReply> {
        return await this.durableReplica.handle(message);
    }

    protected override onFailure(err: unknown): void {
        this.log.error("claims.snapshot-failed", { error: String(err) });
    }

    protected override async runOnce(): Promise<void> {
        this.durableReplica.replica.expire(this.clock.now());
        if (snapshotDue(this.durableReplica.appliedIndex - this.lastSnapshotIndex, this.status.records)) {
            const { chunks, throughIndex } = await this.durableReplica.takeSnapshot(() =>
                new Promise(resolve => setImmediate(resolve))
            );
            await this.journal.saveSnapshot(Buffer.concat(chunks), throughIndex);
            this.lastSnapshotIndex = throughIndex;
        }
    }
}
