import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";

/** Starts a TypeScript module as a process; `file` is the URL of the module. */
export function forkScript(file: URL, args: readonly string[] = []): ChildProcess {
    return fork(fileURLToPath(file), [...args], {
        execArgv: ["--import", "tsx"],
        stdio: ["ignore", "ignore", "inherit", "ipc"],
    });
}

/** Starts a module as a process and returns it with its first message. */
export async function forkModule<T>(file: URL, args: readonly string[]): Promise<{ child: ChildProcess; message: T; }> {
    const child = forkScript(file, args);
    const [message] = await once(child, "message") as [T];
    return { child, message };
}
