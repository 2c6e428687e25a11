import { randomUUID } from "node:crypto";
import { join } from "node:path";
import { FolderLockedError } from "./errors.ts";
import type { FileAccess } from "./file-access.ts";
import { writeFully } from "./file-access.ts";
import type { ProcessIdentity, ProcessProbe } from "./process-probe.ts";

interface LockContent extends ProcessIdentity {
    released: boolean;
}

const lockName = /^lock-(\d+)$/;
const attempts = 5;

async function lockNumbers(files: FileAccess, folder: string): Promise<number[]> {
    const names = await files.list(folder);
    return names.map(name => Number(lockName.exec(name)?.[1] ?? 0)).filter(n => n > 0).sort((a, b) => a - b);
}

async function writeUnsynced(files: FileAccess, path: string, content: LockContent): Promise<void> {
    const file = await files.open(path);
    try {
        await writeFully(file, Buffer.from(JSON.stringify(content)), 0);
    }
    finally {
        await file.close();
    }
}

/** Returns the holder, or undefined when the file is unreadable: only a power loss leaves a partial lock file. */
async function readLock(files: FileAccess, path: string): Promise<LockContent | undefined> {
    const data = await files.readFile(path);
    try {
        return data === undefined ? undefined : JSON.parse(Buffer.from(data).toString("utf8")) as LockContent;
    }
    catch {
        return undefined;
    }
}

/**
 * Lock of a folder against a second process. The file `lock-N` with the highest N is in force and names its process.
 * When that process is dead or has released the lock, a new process takes over by creating `lock-(N+1)`; creation
 * with a complete content is atomic, so only one of several processes succeeds. The highest file is never removed,
 * because its number must not be used again.
 */
export class FolderLock {
    private constructor(
        private readonly files: FileAccess,
        private readonly folder: string,
        private readonly number: number,
        private readonly self: ProcessIdentity,
        /** True when the lock of a dead process was taken over. */
        readonly takenOver: boolean,
    ) {}

    static async acquire(files: FileAccess, folder: string, probe: ProcessProbe): Promise<FolderLock> {
        for (let attempt = 0; attempt < attempts; attempt++) {
            const highest = (await lockNumbers(files, folder)).at(-1) ?? 0;
            const holder = highest === 0 ? undefined : await readLock(files, join(folder, `lock-${highest}`));
            if (holder !== undefined && !holder.released && probe.isAlive(holder)) {
                throw new FolderLockedError(folder, holder.pid);
            }
            const self = probe.currentProcess();
            const lock = new FolderLock(files, folder, highest + 1, self, holder?.released === false);
            if (await lock.create()) {
                return lock;
            }
        }
        throw new FolderLockedError(folder, 0);
    }

    async release(): Promise<void> {
        const path = join(this.folder, `lock-${this.number}`);
        const temporary = `${path}.${randomUUID()}.tmp`;
        await writeUnsynced(this.files, temporary, { ...this.self, released: true });
        await this.files.rename(temporary, path);
    }

    private async create(): Promise<boolean> {
        const path = join(this.folder, `lock-${this.number}`);
        const temporary = `${path}.${randomUUID()}.tmp`;
        await writeUnsynced(this.files, temporary, { ...this.self, released: false });
        const created = await this.files.link(temporary, path);
        await this.files.remove(temporary);
        if (!created) {
            return false;
        }
        // A listing that ran during a takeover can miss both the old and the new file, so the numbers are read again.
        const numbers = await lockNumbers(this.files, this.folder);
        if (numbers.at(-1) !== this.number) {
            await this.files.remove(path);
            return false;
        }
        for (const old of numbers.filter(n => n < this.number)) {
            await this.files.remove(join(this.folder, `lock-${old}`));
        }
        return true;
    }
}
