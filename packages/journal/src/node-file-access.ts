import { constants } from "node:fs";
import { link, mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { errorCode, FileAccess, OpenFile } from "./file-access.ts";

class NodeOpenFile extends OpenFile {
    constructor(private readonly handle: FileHandle) {
        super();
    }

    override async write(data: Uint8Array, position: number): Promise<number> {
        const { bytesWritten } = await this.handle.write(data, 0, data.length, position);
        return bytesWritten;
    }

    override async sync(): Promise<void> {
        await this.handle.sync();
    }

    override async truncate(length: number): Promise<void> {
        await this.handle.truncate(length);
    }

    override async close(): Promise<void> {
        await this.handle.close();
    }
}

async function fallbackOnCode<T, U>(code: string, fallback: U, run: () => Promise<T>): Promise<T | U> {
    try {
        return await run();
    }
    catch (err) {
        if (errorCode(err) === code) {
            return fallback;
        }
        throw err;
    }
}

/** Accesses the files of the operating system. */
export class NodeFileAccess extends FileAccess {
    override async open(path: string): Promise<OpenFile> {
        return new NodeOpenFile(await open(path, constants.O_RDWR | constants.O_CREAT, 0o600));
    }

    override async readFile(path: string): Promise<Uint8Array | undefined> {
        return fallbackOnCode("ENOENT", undefined, () => readFile(path));
    }

    override async list(folder: string): Promise<string[]> {
        return fallbackOnCode("ENOENT", [], () => readdir(folder));
    }

    override async makeFolder(path: string): Promise<void> {
        await mkdir(path, { recursive: true, mode: 0o700 });
    }

    override async rename(from: string, to: string): Promise<void> {
        await rename(from, to);
    }

    override async remove(path: string): Promise<void> {
        await rm(path, { force: true });
    }

    override async link(from: string, to: string): Promise<boolean> {
        return fallbackOnCode("EEXIST", false, async () => {
            await link(from, to);
            return true;
        });
    }

    override async syncFolder(path: string): Promise<void> {
        const handle = await open(path, constants.O_RDONLY);
        try {
            await handle.sync();
        }
        finally {
            await handle.close();
        }
    }
}
