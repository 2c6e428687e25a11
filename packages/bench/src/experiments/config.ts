import { atMost, Experiment, type ExperimentResult, type SeriesPoint } from "../experiment.ts";
import { linkDefaults } from "./configuration/link-model.ts";
import { logSlope } from "./configuration/log-slope.ts";
import { type DistributionVariant, runDistribution, runMs } from "./configuration/run-distribution.ts";
import { measureHttpOverhead } from "./configuration/wire-size.ts";

const subscribe = { kind: "subscribe" } as const;
const history = 1_000;
const candidate = "relays, increments";
const variants: readonly DistributionVariant[] = [
    { name: candidate, relays: 2, mode: subscribe, historyLimit: history },
    { name: "leader, increments", relays: 0, mode: subscribe, historyLimit: history },
    { name: "relays, full transfer", relays: 2, mode: subscribe, historyLimit: 0 },
    { name: "relays, polling 500 ms", relays: 2, mode: { kind: "poll", intervalMs: 500 }, historyLimit: history },
    { name: "relays, polling 1 s", relays: 2, mode: { kind: "poll", intervalMs: 1_000 }, historyLimit: history },
];
const nodeCounts = [50, 200, 800, 1_600];

/** Distribution of the configuration: increments against full transfer against polling. */
export class ConfigExperiment extends Experiment {
    readonly name = "config";
    readonly description = "time until a configuration change is in force everywhere, bytes and messages per node";
    readonly reproducible = true;

    override async run(seed: number): Promise<ExperimentResult> {
        const http = await measureHttpOverhead();
        const points: SeriesPoint[] = variants.flatMap(variant =>
            nodeCounts.map(nodes => ({
                variant: variant.name,
                setting: { nodes },
                figures: runDistribution(variant, nodes, seed, http),
            }))
        );
        const own = points.filter(point => point.variant === candidate);
        const figure = (name: string) =>
            own.map(({ setting, figures }) => ({ nodes: Number(setting.nodes), value: figures[name] ?? 0 }));
        const bytes = figure("nodeBytesPerSecond");
        const inForce = Math.max(...figure("inForceMaxMs").map(({ value }) => value));
        return {
            experiment: this.name,
            seed,
            settings: { ...linkDefaults, ...http, runMs, changesPerDay: 14_000, regions: "nodes / 200" },
            points,
            targets: [
                atMost("in force in every failure domain", 5_000, inForce, "ms"),
                atMost("bytes per node at 1,600 nodes", 3_000, bytes.at(-1)?.value ?? 0, "B/s"),
                atMost("growth of bytes per node (exponent of the number of nodes)", 0.99, logSlope(bytes), ""),
            ],
        };
    }
}
