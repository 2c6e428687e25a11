import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { atMost, Experiment, type ExperimentResult, type SeriesPoint } from "../../experiment.ts";
import { fitLine } from "../../linear-fit.ts";
import { forkModule, forkScript } from "../../processes/fork-module.ts";
import { benchConfiguration, MeasuredDeployment, type ProcessUsage } from "../../processes/measured-deployment.ts";

const sizes = [50, 100, 200, 400];
const targetNodes = 1_600;
const targetReplicas = 7_400;
const engineCounts = [4, 12, 24, 48];
const settleMs = 8_000;
const measuredMs = 12_000;
const changesPerDay = 14_000;
const changeIntervalMs = 24 * 3_600_000 / changesPerDay;
const maxCpuShare = 0.02;
const maxIncrementBytes = 32 * 1_048_576;
const maxBytesPerSecond = 3_000;
const nodesPerProcess = 100;
const byteValues = 256;

interface Rates {
    cpuShare: number;
    residentBytes: number;
    bytesPerSecond: number;
}

function ratesOf(before: ProcessUsage, after: ProcessUsage): Rates {
    const seconds = measuredMs / 1_000;
    const bytes = (usage: ProcessUsage): number => usage.bytesRead + usage.bytesWritten;
    return {
        cpuShare: (after.cpuMicroseconds - before.cpuMicroseconds) / (measuredMs * 1_000),
        residentBytes: after.residentBytes,
        bytesPerSecond: (bytes(after) - bytes(before)) / seconds,
    };
}

async function pause(ms: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, ms));
}

/** Addresses of the stand-in nodes, one loopback address each. */
function nodeAddresses(count: number): { id: string; host: string; port: number; failureDomain: string; }[] {
    return Array.from(Array(count).keys(), i => ({
        id: `node-${i + 1}`,
        host: `127.${130 + process.pid % 64}.${Math.floor(i / byteValues)}.${i % byteValues}`,
        port: 9_000,
        failureDomain: "a",
    }));
}

/** Processor time, memory and traffic of the control and entry processes against the number of nodes and engines. */
export class ControlExperiment extends Experiment {
    readonly name = "control";
    readonly description = "processor time, memory and bytes/s of each role at 50 to 400 nodes, with slopes";
    readonly reproducible = false;

    override async run(seed: number): Promise<ExperimentResult> {
        const points: SeriesPoint[] = [];
        for (const nodes of sizes) {
            points.push(...await this.measureNodes(nodes));
        }
        for (const engines of engineCounts) {
            points.push(...await this.measureEngines(engines));
        }
        const of = (variant: string, figure: string): { x: number; y: number; }[] =>
            points.filter(point => point.variant === variant).map(point => ({
                x: Number(point.setting.nodes ?? point.setting.engines),
                y: point.figures[figure] ?? Number.NaN,
            }));
        const fits = ["control", "entry", "entry by engines"].flatMap(variant =>
            ["cpuShare", "residentMiB", "bytesPerSecond"].map(figure => ({
                variant,
                figure,
                ...fitLine(of(variant, figure)),
            }))
        );
        const at = (variant: string, figure: string, x: number): number => {
            const fit = fits.find(other => other.variant === variant && other.figure === figure);
            return (fit?.intercept ?? Number.NaN) + (fit?.slope ?? Number.NaN) * x;
        };
        const empty = of("empty process", "residentMiB")[0]?.y ?? 0;
        return {
            experiment: this.name,
            seed,
            settings: { settleMs, measuredMs, changesPerDay, targetNodes, targetReplicas },
            points: [
                ...points,
                ...fits.map(({ variant, figure, slope, intercept, slopeError }) => ({
                    variant: `fit ${variant}`,
                    setting: { figure },
                    figures: { slope, slopeError, intercept },
                })),
            ],
            targets: [
                atMost("entry, subscription traffic of a node", maxBytesPerSecond, this.perNode(points), "bytes/s"),
                atMost(
                    `entry, processor time without requests at ${targetNodes} nodes`,
                    maxCpuShare,
                    at("entry", "cpuShare", targetNodes),
                    "cores",
                ),
                atMost(
                    `entry, resident memory over an empty process at ${targetNodes} nodes`,
                    maxIncrementBytes / 1_048_576,
                    at("entry", "residentMiB", targetNodes) - empty,
                    "MiB",
                ),
            ],
        };
    }

    private perNode(points: readonly SeriesPoint[]): number {
        const largest = points.filter(point => point.variant === "control").at(-1);
        return largest?.figures.bytesPerSecondPerNode ?? Number.NaN;
    }

    private async measureNodes(count: number): Promise<SeriesPoint[]> {
        const deployment = new MeasuredDeployment();
        const children: ChildProcess[] = [];
        try {
            deployment.start(true);
            const nodes = nodeAddresses(count - 1);
            const configuration = benchConfiguration([], [deployment.entry, ...nodes]);
            await deployment.configure(configuration);
            children.push(...await this.startNodes(deployment, nodes));
            await deployment.untilPermit();
            await pause(settleMs);
            const { control, entry } = await this.measure(deployment, configuration);
            return [
                this.point("control", { nodes: count }, control, {
                    bytesPerSecondPerNode: control.bytesPerSecond / count,
                }),
                this.point("entry", { nodes: count }, entry),
            ];
        }
        finally {
            children.forEach(child => child.kill("SIGKILL"));
            await deployment.stop();
        }
    }

    private async measureEngines(count: number): Promise<SeriesPoint[]> {
        const deployment = new MeasuredDeployment();
        const file = new URL("../relay/token-source.ts", import.meta.url);
        const { child, message } = await forkModule<{ port: number; }>(file, ["1000"]);
        try {
            deployment.start(false);
            const engines = Array.from(Array(count), () => ({ host: "127.0.0.1", port: message.port }));
            const configuration = benchConfiguration(engines, [deployment.entry]);
            await deployment.configure(configuration);
            await deployment.untilPermit();
            await pause(settleMs / 2);
            const { entry } = await this.measure(deployment, configuration);
            const points = [this.point("entry by engines", { engines: count }, entry)];
            if (count === engineCounts[0]) {
                const residentMiB = await this.emptyProcessMiB(message.port);
                points.push({ variant: "empty process", setting: { engines: 0 }, figures: { residentMiB } });
            }
            return points;
        }
        finally {
            child.kill("SIGKILL");
            await deployment.stop();
        }
    }

    /** Resident memory of a process that only relays, without any control. */
    private async emptyProcessMiB(port: number): Promise<number> {
        const { child } = await forkModule<{ port: number; }>(new URL("../relay/bare-relay.ts", import.meta.url), [
            String(port),
        ]);
        child.send({});
        const [{ residentBytes }] = await once(child, "message") as [{ residentBytes: number; }];
        child.kill("SIGKILL");
        return residentBytes / 1_048_576;
    }

    /** Measures both processes while configuration changes are made at the rate of the target. */
    private async measure(
        deployment: MeasuredDeployment,
        configuration: object,
    ): Promise<{ control: Rates; entry: Rates; }> {
        const before = {
            control: await deployment.usage(deployment.control),
            entry: await deployment.usage(deployment.entry),
        };
        const until = performance.now() + measuredMs;
        for (let i = 1; performance.now() < until; i++) {
            await deployment.configure({ ...configuration, costWeight: 0.5 + 0.001 * i });
            await pause(Math.max(0, Math.min(changeIntervalMs, until - performance.now())));
        }
        const after = {
            control: await deployment.usage(deployment.control),
            entry: await deployment.usage(deployment.entry),
        };
        return { control: ratesOf(before.control, after.control), entry: ratesOf(before.entry, after.entry) };
    }

    private async startNodes(
        deployment: MeasuredDeployment,
        nodes: ReturnType<typeof nodeAddresses>,
    ): Promise<ChildProcess[]> {
        const groups = Array.from(
            Array(Math.ceil(nodes.length / nodesPerProcess)).keys(),
            i => nodes.slice(i * nodesPerProcess, (i + 1) * nodesPerProcess),
        );
        return await Promise.all(groups.map(async entries => {
            const child = forkScript(new URL("./stand-in-nodes.ts", import.meta.url));
            child.send({
                key: deployment.key.authorization().replace("Bearer ", ""),
                control: deployment.control,
                entries,
            });
            await once(child, "message");
            return child;
        }));
    }

    private point(
        variant: string,
        setting: Record<string, number>,
        rates: Rates,
        more: Record<string, number> = {},
    ): SeriesPoint {
        const { cpuShare, residentBytes, bytesPerSecond } = rates;
        return {
            variant,
            setting,
            figures: { cpuShare, residentMiB: residentBytes / 1_048_576, bytesPerSecond, ...more },
        };
    }
}
