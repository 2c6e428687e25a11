import { ProcessKeyError } from "@lentilramp/protocol";
import { processSettingsSchema, readDocument } from "@lentilramp/settings";
import { writeFileSync } from "node:fs";
import { CommandError, type ExitCode, exitCodes } from "../exit-codes.ts";
import { wireProcess } from "../wire.ts";

/** Runs one process until it is asked to stop. SIGTERM and SIGINT drain it; SIGUSR2 writes a state dump. */
export async function serve(settingsFile: string): Promise<ExitCode> {
    const settings = readDocument(settingsFile, processSettingsSchema);
    if (settings.isErr()) {
        throw new CommandError(exitCodes.invalidDocument, settings.error.message);
    }
    let wired: ReturnType<typeof wireProcess>;
    try {
        wired = wireProcess(settings.value);
    }
    catch (err) {
        if (err instanceof ProcessKeyError) {
            throw new CommandError(exitCodes.invalidDocument, err.message);
        }
        throw err;
    }
    const { lifecycle, dump, log } = wired;
    const stopped = new Promise<void>(resolve => {
        const stop = (signal: NodeJS.Signals): void => {
            log.info("process.signal", { signal });
            void lifecycle.stop().then(resolve);
        };
        process.on("SIGTERM", stop);
        process.on("SIGINT", stop);
    });
    process.on("SIGUSR2", () => {
        const file = `${settings.value.name}.dump.json`;
        writeFileSync(file, JSON.stringify(dump.collect(), undefined, 4));
        log.info("process.dump-written", { file });
    });
    try {
        await lifecycle.start();
    }
    catch (err) {
        throw new CommandError(
            exitCodes.failed,
            `${settings.value.name} did not start: ${err instanceof Error ? err.message : String(err)}`,
        );
    }
    await stopped;
    return exitCodes.ok;
}
