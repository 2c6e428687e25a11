import { LineSink, ProcessEventLog, SystemClock, ThrottledEventLog } from "@lentilramp/runtime";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { atMost, Experiment, type ExperimentResult, type SeriesPoint } from "../../experiment.ts";

const lines = 200_000;
/** Lines that are written without a pause, about as many as a process of a loaded fleet writes in a second. */
const batch = 500;
/** Time for which the reader takes nothing, in milliseconds. */
const blockedMs = 1_000;

interface Reading {
    microsPerLine: number;
    delivered: number;
    dropped: number;
    longestDelayMs: number;
}

function fields(i: number): Record<string, string | number> {
    return {
        id: `747e361d8bb1${i}`,
        outcome: "answered",
        status: 200,
        endpoint: "i-6b00deab87",
        runs: 1,
        ageMs: 319,
        firstByteMs: 84,
        predictedMs: 77,
    };
}

/** Writes all lines through the sink of the product to a reader that may take nothing at first. */
async function measure(linesPerSecond: number, readerBlockedMs: number): Promise<Reading> {
    const clock = new SystemClock();
    let delivered = 0;
    const openAt = performance.now() + readerBlockedMs;
    const sink = new LineSink(async text => {
        const left = openAt - performance.now();
        if (left > 0) {
            await new Promise(resolve => setTimeout(resolve, left));
        }
        delivered += text.split("\n").filter(line => line.includes("event=request.done")).length;
    });
    const plain = new ProcessEventLog(() => Date.now(), { process: "front-1" }, "info", line => sink.write(line));
    const log = new ThrottledEventLog(plain, clock, linesPerSecond);
    const delay = monitorEventLoopDelay({ resolution: 5 });
    delay.enable();
    let micros = 0;
    for (let i = 0; i < lines; i += batch) {
        const startedAt = performance.now();
        for (let j = 0; j < batch; j++) {
            log.info("request.done", fields(i + j));
        }
        micros += (performance.now() - startedAt) * 1_000;
        await new Promise(resolve => setImmediate(resolve));
    }
    await new Promise(resolve => setTimeout(resolve, readerBlockedMs + 200));
    delay.disable();
    return {
        microsPerLine: micros / lines,
        delivered,
        dropped: sink.droppedLines,
        longestDelayMs: delay.max / 1e6,
    };
}

/** Measures what a line costs the request that writes it, and what is lost while nobody reads. */
export class LogCostExperiment extends Experiment {
    override readonly name = "log-cost";
    override readonly description = "time of a log line, and the loss while the reader is blocked";
    override readonly reproducible = false;

    override async run(seed: number): Promise<ExperimentResult> {
        const open = await measure(Infinity, 0);
        const blocked = await measure(Infinity, blockedMs);
        const bounded = await measure(40, 0);
        const points: SeriesPoint[] = Object.entries({ open, blocked, bounded }).map(([variant, reading]) => ({
            variant,
            setting: { lines },
            figures: { ...reading },
        }));
        const lost = lines - blocked.delivered - blocked.dropped;
        return {
            experiment: this.name,
            seed,
            settings: { lines, batch, blockedMs },
            points,
            targets: [
                atMost("lines lost without being counted while the reader is blocked", 0, lost, "lines"),
            ],
        };
    }
}
