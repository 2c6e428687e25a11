import { dirname } from "node:path";
import { DiskFullError, RestartRequiredError } from "./errors.ts";
import type { FileAccess } from "./file-access.ts";
import { isDiskFull, writeFully } from "./file-access.ts";

export const TEMPORARY_SUFFIX = ".tmp";

/** Writes the parts in order to a temporary file beside `path`, syncs it and returns its name. */
export async function writeTemporaryFile(
    files: FileAccess,
    path: string,
    parts: Iterable<Uint8Array>,
): Promise<string> {
    const temporary = path + TEMPORARY_SUFFIX;
    await files.remove(temporary);
    const file = await files.open(temporary);
    try {
        let position = 0;
        for (const part of parts) {
            await writeFully(file, part, position);
            position += part.length;
        }
    }
    catch (err) {
        await file.close().catch(() => undefined);
        await files.remove(temporary).catch(() => undefined);
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
    return temporary;
}

/** Puts a synced temporary file in the place of `path`. */
export async function publishTemporaryFile(files: FileAccess, temporary: string, path: string): Promise<void> {
    try {
        await files.rename(temporary, path);
        await files.syncFolder(dirname(path));
    }
    catch (err) {
        throw new RestartRequiredError(path, err);
    }
}

/** Replaces a whole file: after a crash it has either the old or the new content. */
export async function replaceFile(files: FileAccess, path: string, parts: Iterable<Uint8Array>): Promise<void> {
    try {
        await publishTemporaryFile(files, await writeTemporaryFile(files, path, parts), path);
    }
    catch (err) {
        throw isDiskFull(err) ? new DiskFullError(path, err) : err;
    }
}

/** Makes a folder and its name durable. */
export async function makeDurableFolder(files: FileAccess, path: string): Promise<void> {
    await files.makeFolder(path);
    await files.syncFolder(dirname(path));
}
