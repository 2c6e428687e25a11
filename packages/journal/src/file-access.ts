/** A file opened for writing. Data is durable only after `sync`. */
export abstract class OpenFile {
    /** Writes at the byte `position` and returns the number of bytes written, which can be less than requested. */
    abstract write(data: Uint8Array, position: number): Promise<number>;
    abstract sync(): Promise<void>;
    abstract truncate(length: number): Promise<void>;
    abstract close(): Promise<void>;
}

/** Access to files and folders. Errors carry the `code` of Node.js file errors, for example `ENOSPC`. */
export abstract class FileAccess {
    /** Opens a file for writing and creates it when it is missing. */
    abstract open(path: string): Promise<OpenFile>;
    /** Returns the whole content, or undefined when there is no such file. */
    abstract readFile(path: string): Promise<Uint8Array | undefined>;
    /** Returns the names in a folder, or an empty list when there is no such folder. */
    abstract list(folder: string): Promise<string[]>;
    abstract makeFolder(path: string): Promise<void>;
    abstract rename(from: string, to: string): Promise<void>;
    /** Removes a file; a missing file is not an error. */
    abstract remove(path: string): Promise<void>;
    /** Creates the hard link `to` to the file `from`; returns false when `to` exists. */
    abstract link(from: string, to: string): Promise<boolean>;
    /** Makes the creation, renaming and removal of names in a folder durable. */
    abstract syncFolder(path: string): Promise<void>;
}

/** Returns the code of a file error, for example `ENOSPC`, or undefined. */
export function errorCode(err: unknown): string | undefined {
    return err instanceof Error && "code" in err ? String(err.code) : undefined;
}

export function isDiskFull(err: unknown): boolean {
    const code = errorCode(err);
    return code === "ENOSPC" || code === "EDQUOT";
}

/** Writes all of `data`, and continues after short writes. */
export async function writeFully(file: OpenFile, data: Uint8Array, position: number): Promise<void> {
    let done = 0;
    while (done < data.length) {
        const written = await file.write(data.subarray(done), position + done);
        if (written <= 0) {
            throw new Error(`write of ${data.length - done} bytes at ${position + done} made no progress`);
        }
        done += written;
    }
}
