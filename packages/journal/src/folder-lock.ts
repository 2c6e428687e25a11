import { randomUUID } from "node:crypto";
import { join } from "node:path";
import { FolderLockedError } from "./errors.ts";
import type { FileAccess } from "./file-access.ts";
import { writeFully } from "./file-access.ts";
import type { ProcessIdentity, ProcessProbe } from "./process-probe.ts";

interface LockContent extends ProcessIdentity {
    released: boolean;
}

const lockNamePattern = /^lock-(\d+)$/;
const maxAttempts = 5;

async function lockNumbers(files: FileAccess, folder: string): Promise<number[]> {
    const names = await files.list(folder);
    return names.map(name => Number(lockNamePattern.exec(name)?.[1] ?? 0)).filter(n => n > 0).sort((a, b) => a - b);
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

/**
 * Returns the content of a lock file, or undefined when the file is missing or unreadable. Only a power loss leaves a
 * partial lock file.
 */
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
 * A lock that lets only one process use a folder. The file `lock-N` with the highest N is the valid one and identifies
 * the owner. When the owner is dead or has released the lock, another process takes over by creating `lock-(N+1)`. A
 * lock file is created atomically with its whole content, so only one of several processes succeeds. The highest file
 * is never removed, because its number must not be used again.
 */
export class FolderLock {
    private constructor(
        private readonly files: FileAccess,
        private readonly folder: string,
        private readonly number: number,
        private readonly owner: ProcessIdentity,
        /** Whether the lock was taken over from a process that died without releasing it. */
        readonly takenOver: boolean,
    ) {}

    static async acquire(files: FileAccess, folder: string, probe: ProcessProbe): Promise<FolderLock> {
        for (let attempt = 0; attempt < maxAttempts; attempt++) {
            const highest = (await lockNumbers(files, folder)).at(-1) ?? 0;
            const currentLock = highest === 0 ? undefined : await readLock(files, join(folder, `lock-${highest}`));
            if (currentLock !== undefined && !currentLock.released && probe.isAlive(currentLock)) {
                throw new FolderLockedError(folder, currentLock.pid);
            }
            const owner = probe.currentProcess();
            const lock = new FolderLock(files, folder, highest + 1, owner, currentLock?.released === false);
            if (await lock.tryCreate()) {
                return lock;
            }
        }
        throw new FolderLockedError(folder, 0);
    }

    async release(): Promise<void> {
        const path = join(this.folder, `lock-${this.number}`);
        const temporaryPath = `${path}.${randomUUID()}.tmp`;
        await writeUnsynced(this.files, temporaryPath, { ...this.owner, released: true });
        await this.files.rename(temporaryPath, path);
    }

    private async tryCreate(): Promise<boolean> {
        const path = join(this.folder, `lock-${this.number}`);
        const temporaryPath = `${path}.${randomUUID()}.tmp`;
        await writeUnsynced(this.files, temporaryPath, { ...this.owner, released: false });
        const created = await this.files.link(temporaryPath, path);
        await this.files.remove(temporaryPath);
        if (!created) {
            return false;
        }
        // A listing that ran during a takeover can miss both the old and the new file, so the numbers are read again.
        const numbers = await lockNumbers(this.files, this.folder);
        if (numbers.at(-1) !== this.number) {
            await this.files.remove(path);
            return false;
        }
        for (const oldNumber of numbers.filter(n => n < this.number)) {
            await this.files.remove(join(this.folder, `lock-${oldNumber}`));
        }
        return true;
    }
}
