import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { atLeast, atMost, Experiment, type ExperimentResult, type SeriesPoint } from "../../experiment.ts";
import { forkModule, forkScript } from "../../processes/fork-module.ts";
import { mean } from "../../statistics.ts";
import type { LoadOptions, LoadResult } from "./load-generator.ts";
import { BareRelay, EntryRelay, type MeasuredSystem } from "./measured-systems.ts";

const sourceCount = 4;
const generatorCount = 3;
const intervalMs = 40;
const tokensPerAnswer = 128;
/** Streams that offer more tokens than either relay can carry on one core. */
const saturatingStreams = 3_000;
/** Streams that offer 6,250 tokens/s, the share of one of 1,600 nodes of 10 million tokens/s. */
const nodeShareStreams = 265;
const nodeShareTokens = 6_250;
const warmUpMs = 4_000;
const measuredMs = 6_000;
const rounds = 2;

interface Measurement {
    tokensPerSecond: number;
    requestsPerSecond: number;
    failed: number;
    cpuShare: number;
    firstTokenP50Ms: number;
    firstTokenP99Ms: number;
}

function average(measurements: readonly Measurement[]): Measurement {
    const of = (pick: (m: Measurement) => number): number => mean(measurements.map(pick));
    return {
        tokensPerSecond: of(m => m.tokensPerSecond),
        requestsPerSecond: of(m => m.requestsPerSecond),
        failed: of(m => m.failed),
        cpuShare: of(m => m.cpuShare),
        firstTokenP50Ms: of(m => m.firstTokenP50Ms),
        firstTokenP99Ms: of(m => m.firstTokenP99Ms),
    };
}

async function runGenerator(options: LoadOptions): Promise<LoadResult> {
    const child = forkScript(new URL("./load-generator.ts", import.meta.url));
    child.send(options);
    const [result] = await once(child, "message") as [LoadResult];
    child.kill();
    return result;
}

async function measure(system: MeasuredSystem, streams: number): Promise<Measurement> {
    const options = {
        ...system.address,
        streams: Math.ceil(streams / generatorCount),
        tokens: tokensPerAnswer,
        warmUpMs,
        measuredMs,
    };
    const running = Promise.all(Array.from(Array(generatorCount), () => runGenerator(options)));
    // The generators need about a second to start, so the middle of the measured time is used for the processor time.
    await new Promise(resolve => setTimeout(resolve, warmUpMs + 1_500));
    const cpuBefore = await system.cpuMicroseconds();
    const from = performance.now();
    await new Promise(resolve => setTimeout(resolve, measuredMs / 2));
    const cpuShare = (await system.cpuMicroseconds() - cpuBefore) / ((performance.now() - from) * 1_000);
    const results = await running;
    const seconds = measuredMs / 1_000;
    return {
        tokensPerSecond: results.reduce((sum, result) => sum + result.tokens, 0) / seconds,
        requestsPerSecond: results.reduce((sum, result) => sum + result.requests, 0) / seconds,
        failed: results.reduce((sum, result) => sum + result.failed, 0),
        cpuShare,
        firstTokenP50Ms: mean(results.map(result => result.firstTokenMs.p50)),
        firstTokenP99Ms: Math.max(...results.map(result => result.firstTokenMs.p99)),
    };
}

/** One entry process against a bare relay, over real sockets, alternating in the same run. */
export class RelayExperiment extends Experiment {
    readonly name = "relay";
    readonly description = "throughput, processor time and added first-token time of one entry against a bare relay";
    readonly reproducible = false;

    override async run(seed: number): Promise<ExperimentResult> {
        const sources: ChildProcess[] = [];
        const systems: MeasuredSystem[] = [];
        try {
            const started = await Promise.all(
                Array.from(
                    Array(sourceCount),
                    () =>
                        forkModule<{ port: number; }>(new URL("./token-source.ts", import.meta.url), [
                            String(intervalMs),
                        ]),
                ),
            );
            sources.push(...started.map(({ child }) => child));
            const ports = started.map(({ message }) => message.port);
            systems.push(await BareRelay.start(ports), await EntryRelay.start(ports));
            return await this.compare(seed, systems);
        }
        finally {
            await Promise.all(systems.map(system => system.stop()));
            sources.forEach(source => source.kill());
        }
    }

    private async compare(seed: number, systems: readonly MeasuredSystem[]): Promise<ExperimentResult> {
        const points: SeriesPoint[] = [];
        const figures = new Map<string, Measurement>();
        for (const streams of [nodeShareStreams, saturatingStreams]) {
            const taken = new Map<string, Measurement[]>();
            for (let round = 0; round < rounds; round++) {
                for (const system of systems) {
                    taken.set(system.name, [...taken.get(system.name) ?? [], await measure(system, streams)]);
                }
            }
            for (const [name, measurements] of taken) {
                const averaged = average(measurements);
                figures.set(`${name} ${streams}`, averaged);
                points.push({ variant: name, setting: { streams }, figures: { ...averaged } });
            }
        }
        const of = (name: string, streams: number): Measurement => figures.get(`${name} ${streams}`) as Measurement;
        const entry = of("entry", nodeShareStreams);
        const bare = of("bare-relay", nodeShareStreams);
        const saturatedRatio = of("entry", saturatingStreams).tokensPerSecond
            / of("bare-relay", saturatingStreams).tokensPerSecond;
        return {
            experiment: this.name,
            seed,
            settings: { intervalMs, tokensPerAnswer, sourceCount, generatorCount, rounds, warmUpMs, measuredMs },
            points: [
                ...points,
                {
                    variant: "entry against bare-relay",
                    setting: { streams: nodeShareStreams },
                    figures: {
                        addedFirstTokenP50Ms: entry.firstTokenP50Ms - bare.firstTokenP50Ms,
                        addedFirstTokenP99Ms: entry.firstTokenP99Ms - bare.firstTokenP99Ms,
                        cpuRatio: entry.cpuShare / bare.cpuShare,
                    },
                },
            ],
            targets: [
                atLeast("throughput against the bare relay", 0.7, saturatedRatio, "times"),
                atLeast("tokens/s at a node's share", nodeShareTokens * 0.98, entry.tokensPerSecond, "tokens/s"),
                atMost("processor time at a node's share", 1 / 3, entry.cpuShare, "cores"),
            ],
        };
    }
}
