import { execFile } from "node:child_process";
import { existsSync } from "node:fs";
import { cp, mkdir } from "node:fs/promises";
import { dirname, join, resolve } from "node:path";
import { promisify } from "node:util";

const run = promisify(execFile);

/** Name that stands for the files as they are, with changes that are not committed. */
export const workingTree = "WORKTREE";

/** Makes a folder with one version of the repository, and returns its path. */
export async function checkOut(version: string, folder: string): Promise<string> {
    const target = resolve(folder);
    await mkdir(dirname(target), { recursive: true });
    if (existsSync(target)) {
        throw new Error(`${target} exists; choose another folder for the checkouts`);
    }
    const root = (await run("git", ["rev-parse", "--show-toplevel"])).stdout.trim();
    await run("git", ["clone", "--quiet", "--no-hardlinks", root, target]);
    if (version !== workingTree) {
        const commit = (await run("git", ["rev-parse", `${version}^{commit}`], { cwd: root })).stdout.trim();
        await run("git", ["checkout", "--quiet", "--detach", commit], { cwd: target });
        return target;
    }
    const listed = await run("git", ["ls-files", "-z", "--cached", "--others", "--exclude-standard"], { cwd: root });
    for (const file of listed.stdout.split("\0").filter(name => name !== "" && existsSync(join(root, name)))) {
        await cp(join(root, file), join(target, file));
    }
    return target;
}
