import { mkdtemp, readdir, rm, stat } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Runs with an empty folder on the disk of the temporary folder and removes it afterwards. */
export async function withTemporaryFolder<T>(run: (path: string) => Promise<T>): Promise<T> {
    const path = await mkdtemp(join(tmpdir(), "lentilramp-bench-"));
    try {
        return await run(path);
    }
    finally {
        await rm(path, { recursive: true });
    }
}

/** Returns the number of bytes of the files in a folder. */
export async function folderBytes(path: string): Promise<number> {
    const names = await readdir(path);
    const sizes = await Promise.all(names.map(async name => (await stat(join(path, name))).size));
    return sizes.reduce((sum, size) => sum + size, 0);
}

/** Returns the value at `share` of the sorted values, for example 0.5 for the median. */
export function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
