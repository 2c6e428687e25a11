import { applyWrite, type StoredState, type Write } from "@lentilramp/agreement";
import type { DataFolder, Journal, JournalContents } from "@lentilramp/journal";
import { decode, encode } from "@msgpack/msgpack";

/** Journal records after which the whole stored state is written as one snapshot, which bounds a restart. */
const recordsPerSnapshot = 1_000;

function encodeRecord(value: unknown): Uint8Array {
    return encode(value, { ignoreUndefined: true });
}

function recover(contents: JournalContents, initial: StoredState): StoredState {
    const start = contents.snapshot === undefined ? initial : decode(contents.snapshot.payload) as StoredState;
    return contents.records.reduce((state, record) => applyWrite(state, decode(record.payload) as Write), start);
}

/** Durable log, term and vote of the agreement member, one journal record a write. */
export class AgreementStorage {
    private recordsSinceSnapshot: number;
    private lastWrite: Promise<unknown> = Promise.resolve();
    private snapshotting = false;

    private constructor(private readonly journal: Journal, private current: StoredState, records: number) {
        this.recordsSinceSnapshot = records;
    }

    /** Recovers the stored state; `initial` is that of a member that has stored nothing. */
    static async open(folder: DataFolder, initial: StoredState): Promise<AgreementStorage> {
        const { journal, contents } = await folder.openJournal("agreement");
        return new AgreementStorage(journal, recover(contents, initial), contents.records.length);
    }

    get stored(): StoredState {
        return this.current;
    }

    get recordCount(): number {
        return this.recordsSinceSnapshot;
    }

    /** Queues a write; `sync` waits for it. */
    write(write: Write): void {
        this.current = applyWrite(this.current, write);
        this.recordsSinceSnapshot++;
        this.lastWrite = this.journal.append(encodeRecord(write));
        // The failure is reported by `sync`; this handler keeps it from being an unhandled rejection.
        this.lastWrite.catch(() => undefined);
    }

    /** Resolves when all writes queued so far are durable. */
    async sync(): Promise<void> {
        await this.lastWrite;
        if (this.recordsSinceSnapshot >= recordsPerSnapshot && !this.snapshotting) {
            await this.compact();
        }
    }

    async close(): Promise<void> {
        await this.lastWrite.catch(() => undefined);
        await this.journal.close();
    }

    private async compact(): Promise<void> {
        this.snapshotting = true;
        try {
            const state = encodeRecord(this.current);
            const written = this.lastWrite;
            this.recordsSinceSnapshot = 0;
            const index = await written as number;
            await this.journal.saveSnapshot(state, index);
        }
        finally {
            this.snapshotting = false;
        }
    }
}
