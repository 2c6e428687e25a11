import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";

const startTimeoutMs = 30_000;

/** A child process of the demo, whose output is appended to a log file. */
export class DemoProcess {
    private constructor(readonly name: string, private readonly child: ChildProcess) {}

    /**
     * Starts a process and resolves when `isReady` accepts a line of its output. Rejects if the process exits or is not
     * ready in time.
     */
    static async start(
        name: string,
        command: readonly string[],
        folder: string,
        isReady: (line: string) => boolean,
    ): Promise<DemoProcess> {
        const [program = "", ...args] = command;
        const child = spawn(program, args, { cwd: folder, stdio: ["ignore", "pipe", "pipe"] });
        const log = createWriteStream(`${folder}/${name}.log`, { flags: "a" });
        const demoProcess = new DemoProcess(name, child);
        await new Promise<void>((resolve, reject) => {
            const timer = setTimeout(
                () => reject(new Error(`${name} was not ready after ${startTimeoutMs} ms`)),
                startTimeoutMs,
            );
            let partialLine = "";
            const onOutput = (chunk: Buffer): void => {
                log.write(chunk);
                const lines = (partialLine + chunk.toString("utf8")).split("\n");
                partialLine = lines.pop() ?? "";
                if (lines.some(isReady)) {
                    clearTimeout(timer);
                    resolve();
                }
            };
            child.stdout?.on("data", onOutput);
            child.stderr?.on("data", onOutput);
            child.on("error", reject);
            child.on("exit", status => {
                clearTimeout(timer);
                reject(
                    new Error(`${name} exited with status ${status} before it was ready; see ${folder}/${name}.log`),
                );
            });
        });
        return demoProcess;
    }

    get isRunning(): boolean {
        return this.child.exitCode === null && this.child.signalCode === null; // eslint-disable-line no-restricted-syntax
    }

    /** Sends a signal to the process, if it is running, and waits until it exits. */
    async stop(signal: NodeJS.Signals): Promise<void> {
        if (this.isRunning) {
            const exited = once(this.child, "exit");
            this.child.kill(signal);
            await exited;
        }
    }
}
