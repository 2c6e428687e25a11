import { dirname } from "node:path";
import { DiskFullError, RestartRequiredError } from "./errors.ts";
import type { FileAccess, OpenFile } from "./file-access.ts";
import { isDiskFull, writeFully } from "./file-access.ts";

export const TEMPORARY_SUFFIX = ".tmp";

/** Writes the parts in order to a temporary file beside `path`, syncs it and returns its path. */
export async function writeTemporaryFile(
    files: FileAccess,
    path: string,
    parts: Iterable<Uint8Array>,
): Promise<string> {
    const temporaryPath = path + TEMPORARY_SUFFIX;
    const file = await openTemporaryFile(files, temporaryPath);
    try {
        let position = 0;
        for (const part of parts) {
            await writeFully(file, part, position);
            position += part.length;
        }
        await file.sync();
    }
    catch (err) {
        await files.remove(temporaryPath).catch(() => undefined);
        throw isDiskFull(err) ? new DiskFullError(path, err) : new RestartRequiredError(path, err);
    }
    finally {
        await file.close().catch(() => undefined);
    }
    return temporaryPath;
}

async function openTemporaryFile(files: FileAccess, temporaryPath: string): Promise<OpenFile> {
    try {
        await files.remove(temporaryPath);
        return await files.open(temporaryPath);
    }
    catch (err) {
        throw isDiskFull(err) ? new DiskFullError(temporaryPath, err) : err;
    }
}

/** Renames a synced temporary file to `path`; the new name is durable after the next sync of the folder. */
export async function renameTemporaryFile(files: FileAccess, temporaryPath: string, path: string): Promise<void> {
    try {
        await files.rename(temporaryPath, path);
    }
    catch (err) {
        await files.remove(temporaryPath).catch(() => undefined);
        throw isDiskFull(err) ? new DiskFullError(path, err) : new RestartRequiredError(path, err);
    }
}

/**
 * Replaces a whole file atomically: after a crash, it has either the old or the new content. A `DiskFullError` leaves
 * the old content unchanged.
 */
export async function replaceFile(files: FileAccess, path: string, parts: Iterable<Uint8Array>): Promise<void> {
    await renameTemporaryFile(files, await writeTemporaryFile(files, path, parts), path);
    try {
        await files.syncFolder(dirname(path));
    }
    catch (err) {
        throw new RestartRequiredError(path, err);
    }
}

/** Creates a folder if it does not exist, and makes its name durable. */
export async function makeDurableFolder(files: FileAccess, path: string): Promise<void> {
    await files.makeFolder(path);
    await files.syncFolder(dirname(path));
}
