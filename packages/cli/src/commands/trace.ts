import { readFileSync } from "node:fs";
import { CommandError, type ExitCode, exitCodes } from "../exit-codes.ts";
import { field } from "../log-line.ts";
import type { Output } from "../output.ts";

/** One log line about a request. */
export interface TraceLine {
    time: string;
    process: string;
    event: string;
    text: string;
}

/** What the logs of several processes say of one request. */
export interface Trace {
    lines: readonly TraceLine[];
    /** Lines that were left out or dropped, by process; one of them could have been about the request. */
    missing: Readonly<Record<string, number>>;
}

/** Joins the lines of several logs that carry the request's id, in the order of their times. */
export function joinTrace(id: string, logs: readonly string[]): Trace {
    const lines: TraceLine[] = [];
    const missing: Record<string, number> = {};
    for (const line of logs.flatMap(log => log.split("\n"))) {
        const event = field(line, "event") ?? "";
        const process = field(line, "process") ?? "?";
        if (event === "log.left-out" || event === "log.dropped") {
            missing[process] = (missing[process] ?? 0) + Number(field(line, "lines") ?? 0);
        }
        else if (field(line, "id") === id) {
            lines.push({ time: field(line, "time") ?? "", process, event, text: line.slice(line.indexOf("event=")) });
        }
    }
    return { lines: lines.sort((a, b) => a.time < b.time ? -1 : 1), missing };
}

function describeTrace(id: string, { lines, missing }: Trace): string[] {
    if (lines.length > 0) {
        return lines.map(line => `${line.time} ${line.process} ${line.text}`);
    }
    const left = Object.entries(missing).map(([process, count]) => `${process}: ${count}`).join(", ");
    return [
        `no line about ${id}; answered requests are logged for one id in 16`,
        `lines left out or dropped: ${left === "" ? "none" : left}`,
    ];
}

/** Prints a request's story from the logs of several processes. */
export function trace(id: string, files: readonly string[], output: Output): ExitCode {
    const logs = files.map(file => {
        try {
            return readFileSync(file, "utf8");
        }
        catch (err) {
            throw new CommandError(exitCodes.invalidDocument, `${file} cannot be read: ${String(err)}`);
        }
    });
    const joined = joinTrace(id, logs);
    output.result(joined, describeTrace(id, joined));
    return joined.lines.length > 0 ? exitCodes.ok : exitCodes.failed;
}
