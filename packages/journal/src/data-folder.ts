import { randomUUID } from "node:crypto";
import { join } from "node:path";
import { makeDurableFolder, replaceFile, TEMPORARY_SUFFIX } from "./atomic-file.ts";
import { CorruptionError, DiskFullError, IncompleteFolderError, NewerFormatError } from "./errors.ts";
import type { FileAccess } from "./file-access.ts";
import { isDiskFull } from "./file-access.ts";
import { FolderLock } from "./folder-lock.ts";
import type { JournalOptions, OpenedJournal } from "./journal.ts";
import { Journal } from "./journal.ts";
import { MetadataFile } from "./metadata-file.ts";
import type { ProcessProbe } from "./process-probe.ts";
import { LinuxProcessProbe } from "./process-probe.ts";

/** Version of the file formats in the data folder. */
export const FORMAT_VERSION = 1;
const identityPattern = /^[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}$/;

function decodeFolderFile(path: string, content: Uint8Array): string {
    let parsed: { format?: unknown; identity?: unknown; };
    try {
        parsed = JSON.parse(Buffer.from(content).toString("utf8")) as typeof parsed;
    }
    catch {
        throw new CorruptionError(path, 0, "content is not valid JSON");
    }
    if (typeof parsed.format === "number" && parsed.format > FORMAT_VERSION) {
        throw new NewerFormatError(path, parsed.format, FORMAT_VERSION);
    }
    if (
        typeof parsed.format !== "number" || typeof parsed.identity !== "string"
        || !identityPattern.test(parsed.identity)
    ) {
        throw new CorruptionError(path, 0, "format or identity is missing or invalid");
    }
    return parsed.identity;
}

async function acquireLock(files: FileAccess, path: string, probe: ProcessProbe): Promise<FolderLock> {
    try {
        return await FolderLock.acquire(files, path, probe);
    }
    catch (err) {
        throw isDiskFull(err) ? new DiskFullError(path, err) : err;
    }
}

/** The data folder of one process, with its format version, identity and lock, and the files of other packages. */
export class DataFolder {
    private constructor(
        private readonly files: FileAccess,
        readonly path: string,
        /** UUID created at the first start; a folder that is created again after a loss gets another one. */
        readonly identity: string,
        /** Whether this start created the identity. */
        readonly identityCreated: boolean,
        /** Undefined when the platform already ensures that only one process uses the folder. */
        private readonly lock: FolderLock | undefined,
    ) {}

    get lockTakenOver(): boolean {
        return this.lock?.takenOver ?? false;
    }

    static async open(
        files: FileAccess,
        path: string,
        probe: ProcessProbe | "single-process" = new LinuxProcessProbe(),
    ): Promise<DataFolder> {
        await makeDurableFolder(files, path);
        const lock = probe === "single-process" ? undefined : await acquireLock(files, path, probe);
        try {
            const file = join(path, "folder.json");
            const content = await files.readFile(file);
            const identity = content === undefined ? randomUUID() : decodeFolderFile(file, content);
            if (content === undefined) {
                const otherNames = (await files.list(path)).filter(name =>
                    !name.startsWith("lock-") && !name.endsWith(TEMPORARY_SUFFIX)
                );
                if (otherNames.length > 0) {
                    throw new IncompleteFolderError(path, otherNames);
                }
                await replaceFile(
                    files,
                    file,
                    [Buffer.from(`${JSON.stringify({ format: FORMAT_VERSION, identity })}\n`)],
                );
            }
            return new DataFolder(files, path, identity, content === undefined, lock);
        }
        catch (err) {
            await lock?.release().catch(() => undefined);
            throw err;
        }
    }

    async openJournal(name: string, options?: Partial<JournalOptions>): Promise<OpenedJournal> {
        const folder = join(this.path, name);
        await makeDurableFolder(this.files, folder);
        return Journal.open(this.files, folder, options);
    }

    async openMetadata(name: string): Promise<MetadataFile> {
        return MetadataFile.open(this.files, join(this.path, name));
    }

    /** Releases the lock. Journals must be closed first. */
    async close(): Promise<void> {
        await this.lock?.release();
    }
}
