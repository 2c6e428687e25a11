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

const maintenanceMs = 1_000;

class JournalClaimStorage extends ClaimStorage {
    constructor(private readonly journal: Journal) {
        super();
    }

    override append(record: Uint8Array): Promise<number> {
        return this.journal.append(record);
    }
}

/** The claim replica of a control process: journal, expiry, snapshots, and its methods. */
export class ClaimService extends PeriodicComponent {
    readonly name = "claims";
    private recordsAtSnapshot: number;

    private constructor(
        private readonly replica: DurableClaimReplica,
        private readonly journal: Journal,
        clock: Clock,
        private readonly log: EventLog,
        recordsSinceSnapshot: number,
    ) {
        super(clock, maintenanceMs);
        this.recordsAtSnapshot = journal.lastIndex - recordsSinceSnapshot;
    }

    static async open(folder: DataFolder, clock: Clock, log: EventLog): Promise<ClaimService> {
        const { journal, contents } = await folder.openJournal("claims");
        const table = new ClaimReplica(folder.identity);
        table.restore(contents.snapshot?.payload, contents.records.map(record => record.payload));
        const replica = new DurableClaimReplica(table, new JournalClaimStorage(journal), clock, journal.lastIndex);
        if (contents.tornTail !== undefined) {
            log.warn("journal.torn-tail", { journal: "claims" });
        }
        return new ClaimService(replica, journal, clock, log, contents.records.length);
    }

    get status(): ClaimReplica["status"] {
        return this.replica.replica.status;
    }

    /** Adds the methods `claim.write`, `claim.outcome`, `claim.seal` and `claim.read`. */
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
        return await this.replica.handle(message);
    }

    protected override onFailure(err: unknown): void {
        this.log.error("claims.snapshot-failed", { error: String(err) });
    }

    protected override async runOnce(): Promise<void> {
        this.replica.replica.expire(this.clock.now());
        if (snapshotDue(this.replica.appliedIndex - this.recordsAtSnapshot, this.status.records)) {
            const { chunks, throughIndex } = await this.replica.takeSnapshot(() =>
                new Promise(resolve => setImmediate(resolve))
            );
            await this.journal.saveSnapshot(Buffer.concat(chunks), throughIndex);
            this.recordsAtSnapshot = throughIndex;
        }
    }
}
