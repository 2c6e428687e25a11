import { dirname } from "node:path";
import { DiskFullError, RestartRequiredError } from "./errors.ts";
import type { FileAccess } from "./file-access.ts";
import { isDiskFull, writeFully } from "./file-access.ts";

export const TEMPORARY_SUFFIX = ".tmp";

/** Writes the parts in order to a temporary file beside `path`, syncs it and returns its path. */
export async function writeTemporaryFile(
    files: FileAccess,
    path: string,
    parts: Iterable<Uint8Array>,
): Promise<string> {
    const temporaryPath = path + TEMPORARY_SUFFIX;
    await files.remove(temporaryPath);
    const file = await files.open(temporaryPath);
    try {
        let position = 0;
        for (const part of parts) {
            await writeFully(file, part, position);
            position += part.length;
        }
    }
    catch (err) {
        await file.close().catch(() => undefined);
        await files.remove(temporaryPath).catch(() => undefined);
        throw isDiskFull(err) ? new DiskFullError(path, err) : new RestartRequiredError(path, err);
    }
    try {
        await file.sync();
    }
    catch (err) {
        throw new RestartRequiredError(path, err);
    }
    finally {
        await file.close().catch(() => undefined);
    }
    return temporaryPath;
}

/** Renames a synced temporary file to `path` and makes the new name durable. */
export async function publishTemporaryFile(files: FileAccess, temporaryPath: string, path: string): Promise<void> {
    try {
        await files.rename(temporaryPath, path);
        await files.syncFolder(dirname(path));
    }
    catch (err) {
        throw new RestartRequiredError(path, err);
    }
}

/** Replaces a whole file atomically: after a crash, it has either the old or the new content. */
export async function replaceFile(files: FileAccess, path: string, parts: Iterable<Uint8Array>): Promise<void> {
    try {
        await publishTemporaryFile(files, await writeTemporaryFile(files, path, parts), path);
    }
    catch (err) {
        throw isDiskFull(err) ? new DiskFullError(path, err) : err;
    }
}

/** Creates a folder if it does not exist, and makes its name durable. */
export async function makeDurableFolder(files: FileAccess, path: string): Promise<void> {
    await files.makeFolder(path);
    await files.syncFolder(dirname(path));
}
