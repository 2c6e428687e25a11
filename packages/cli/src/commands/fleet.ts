import { type PlatformSettings, readSettings, settingsPath } from "@lentilramp/platform";
import { Ok } from "ts-results-es";
import { CommandError, type ExitCode, exitCodes } from "../exit-codes.ts";
import { stopAtFatalError } from "../fatal-errors.ts";
import { fleetPolicyDefaults, readFleetPolicy } from "../fleet-policy.ts";
import { wireFleet } from "../wire-fleet.ts";

/** The settings file is looked at again at most this often, in milliseconds. */
const reloadMs = 1_000;

/** Keeps the newest readable settings; the file can change without a signal. */
class SettingsReader {
    private readAt = Date.now();

    constructor(private readonly path: string, private current: PlatformSettings) {}

    reload(force = false): PlatformSettings {
        const now = Date.now();
        if (force || Math.abs(now - this.readAt) >= reloadMs) {
            this.readAt = now;
            // An unreadable file is being replaced; the settings read before stay in force.
            this.current = readSettings(this.path).unwrapOr(this.current);
        }
        return this.current;
    }
}

/** Runs one process of a fleet on the platform until it is asked to stop. */
export async function fleet(keyFile: string, policyFile?: string): Promise<ExitCode> {
    const path = settingsPath(process.env);
    if (path === undefined) {
        throw new CommandError(exitCodes.usage, "this command is started by the platform, which names a settings file");
    }
    const settings = readSettings(path);
    if (settings.isErr()) {
        throw new CommandError(exitCodes.invalidDocument, settings.error);
    }
    const policy = policyFile === undefined ? Ok(fleetPolicyDefaults) : readFleetPolicy(policyFile);
    if (policy.isErr()) {
        throw new CommandError(exitCodes.invalidDocument, policy.error.message);
    }
    const reader = new SettingsReader(path, settings.value);
    const { lifecycle, log, failed, flushLog } = wireFleet(
        settings.value,
        keyFile,
        () => reader.reload(),
        policy.value,
    );
    process.on("SIGHUP", () => {
        log.info("process.reload", { seeds: reader.reload(true).seedHosts.join(",") });
    });
    const stopped = new Promise<ExitCode>(resolve => {
        const stop = (signal: NodeJS.Signals): void => {
            log.info("process.signal", { signal });
            void lifecycle.stop().then(() => resolve(exitCodes.ok));
        };
        process.on("SIGTERM", stop);
        process.on("SIGINT", stop);
        const stopFailed = (): void => void lifecycle.stop().then(() => resolve(exitCodes.failed));
        stopAtFatalError(process, stopFailed, log);
        void failed.then(reason => {
            log.error("process.failed", { reason });
            stopFailed();
        });
    });
    log.info("process.start", { pid: process.pid, failureDomain: settings.value.failureDomain });
    // A component that does not finish its start must not delay the exit.
    await Promise.race([lifecycle.start(), stopped]);
    const exitCode = await stopped;
    await flushLog();
    setImmediate(() => process.exit(exitCode));
    return exitCode;
}
