import { readFileSync } from "node:fs";
import { CommandError, type ExitCode, exitCodes } from "../exit-codes.ts";
import { plainField } from "../log-line.ts";
import { formatTable, type Output } from "../output.ts";

/** Endpoints, workspaces and instances named for each cause, the most frequent first. */
const namesShown = 3;

/** What the callers lost for one reason. */
export interface LossCause {
    cause: string;
    count: number;
    /** Seconds of the log in which it happened most, with the number in them. */
    worstSecond: { time: string; count: number; };
    endpoints: Readonly<Record<string, number>>;
    workspaces: Readonly<Record<string, number>>;
    instances: Readonly<Record<string, number>>;
}

export interface Explanation {
    causes: readonly LossCause[];
    /** Lines that were left out or dropped in the time asked for; the counts are too low by some of them. */
    missingLines: number;
}

/** Time of day as the logs write it; anything that sorts the same way will do. */
export interface TimeRange {
    from?: string;
    to?: string;
}

class CauseCount {
    private count = 0;
    private readonly seconds = new Map<string, number>();
    private readonly endpoints = new Map<string, number>();
    private readonly workspaces = new Map<string, number>();
    private readonly instances = new Map<string, number>();

    constructor(private readonly cause: string) {}

    add(line: string): void {
        this.count++;
        add(this.seconds, plainField(line, "time")?.slice(0, "2026-01-01T00:00:00".length));
        add(this.endpoints, plainField(line, "endpoint") ?? plainField(line, "best"));
        add(this.workspaces, plainField(line, "workspace"));
        add(this.instances, plainField(line, "process"));
    }

    result(): LossCause {
        const [time = "", count = 0] = byCount(this.seconds)[0] ?? [];
        return {
            cause: this.cause,
            count: this.count,
            worstSecond: { time, count },
            endpoints: Object.fromEntries(byCount(this.endpoints)),
            workspaces: Object.fromEntries(byCount(this.workspaces)),
            instances: Object.fromEntries(byCount(this.instances)),
        };
    }
}

function add(counts: Map<string, number>, name: string | undefined): void {
    if (name !== undefined && name !== "") {
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
}

function byCount(counts: ReadonlyMap<string, number>): [string, number][] {
    return [...counts].sort(([, a], [, b]) => b - a);
}

/** The reason for which a line tells that a caller lost something, or undefined. */
function causeOf(line: string): string | undefined {
    switch (plainField(line, "event")) {
        case "request.refused":
            return `refused at the door: ${plainField(line, "reason")} (${plainField(line, "status")})`;
        case "request.given-up":
            return Number(plainField(line, "runs") ?? 0) === 0
                ? `given up before it ran: ${plainField(line, "reason")}`
                : `given up after it ran: ${plainField(line, "reason")}`;
        case "caller.cut":
            return `connection ended without a complete answer: ${plainField(line, "cause")}`;
        case "request.done":
            return plainField(line, "late") === "true" ? lateCause(line) : undefined;
        case "request.send-failed":
            return `one send failed: ${plainField(line, "outcome")}, ${plainField(line, "reason")}`;
        default:
            return undefined;
    }
}

function lateCause(line: string): string {
    const [first, predicted, age, runs] = ["firstByteMs", "predictedMs", "ageMs", "runs"]
        .map(name => Number(plainField(line, name) ?? Number.NaN));
    if (runs !== undefined && runs > 1) {
        return "late: sent more than once";
    }
    if (first === undefined || predicted === undefined || Number.isNaN(first)) {
        return "late: whole answer of a plain call";
    }
    if (first > predicted * 1.5) {
        return "late: slower than predicted";
    }
    return (age ?? 0) > 2 * first ? "late: sent late, or long stream" : "late: sent although it was predicted";
}

/** Counts what callers lost in a time, by cause, from the lines of several processes. */
export function explainLosses(lines: Iterable<string>, { from = "", to = "~" }: TimeRange): Explanation {
    const causes = new Map<string, CauseCount>();
    let missingLines = 0;
    for (const line of lines) {
        const time = plainField(line, "time") ?? "";
        if (time < from || time >= to) {
            continue;
        }
        const event = plainField(line, "event");
        if (event === "log.left-out" || event === "log.dropped") {
            missingLines += Number(plainField(line, "lines") ?? 0);
        }
        const cause = causeOf(line);
        if (cause !== undefined) {
            const count = causes.get(cause) ?? new CauseCount(cause);
            causes.set(cause, count);
            count.add(line);
        }
    }
    const results = [...causes.values()].map(count => count.result()).sort((a, b) => b.count - a.count);
    return { causes: results, missingLines };
}

function names(counts: Readonly<Record<string, number>>): string {
    const all = Object.entries(counts);
    const shown = all.slice(0, namesShown).map(([name, count]) => `${name} ${count}`).join(", ");
    return all.length > namesShown ? `${shown}, ${all.length - namesShown} more` : shown;
}

/** Prints why callers were refused, failed or answered late. */
export function explain(files: readonly string[], range: TimeRange, output: Output): ExitCode {
    const lines = files.flatMap(file => {
        try {
            return readFileSync(file, "utf8").split("\n");
        }
        catch (err) {
            throw new CommandError(exitCodes.invalidDocument, `${file} cannot be read: ${String(err)}`);
        }
    });
    const explanation = explainLosses(lines, range);
    output.result(explanation, [
        ...formatTable([
            ["count", "cause", "worst second", "endpoints", "workspaces", "instances"],
            ...explanation.causes.map(({ cause, count, worstSecond, endpoints, workspaces, instances }) => [
                String(count),
                cause,
                `${worstSecond.time} (${worstSecond.count})`,
                names(endpoints),
                names(workspaces),
                names(instances),
            ]),
        ]),
        `lines left out or dropped: ${explanation.missingLines}; answers on time are not counted`,
    ]);
    return exitCodes.ok;
}
