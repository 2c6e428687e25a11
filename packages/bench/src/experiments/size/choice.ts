import { performance } from "node:perf_hooks";
import { atMost, Experiment, type ExperimentResult, type SeriesPoint } from "../../experiment.ts";
import { ChoiceFixture, type ChoiceOptions } from "./choice-fixture.ts";

const endpointCounts = [64, 512, 2_048, 7_400];
/** Requests a second at one ingress of 1,600 with 47,000 requests a second, and at one of a smaller fleet. */
const ratesPerSecond = [30, 500];
const warmUpChoices = 1_000;
const measuredChoices = 2_000;
/** Part of a core for all control of a node, in percent. */
const controlPercent = 2;

interface Variant extends Pick<ChoiceOptions, "kind" | "isEstimated" | "fullPart" | "lists"> {
    name: string;
}

/** An ingress before it kept lists, for comparison; the target is not meant for it. */
const filteredPlain = "plain, estimates, filtered lists";
const filteredEngines = "engines, estimates, filtered lists";

const variants: readonly Variant[] = [
    { name: "plain, no estimates", kind: "plain", isEstimated: false, fullPart: 0.1 },
    { name: "plain, estimates", kind: "plain", isEstimated: true, fullPart: 0.1 },
    { name: "engines, estimates", kind: "engine", isEstimated: true, fullPart: 0.1 },
    { name: "engines, estimates, new lists", kind: "engine", isEstimated: true, fullPart: 0.1, lists: "new" },
    { name: filteredPlain, kind: "plain", isEstimated: true, fullPart: 0.1, lists: "filtered" },
    { name: "plain, estimates, predicate", kind: "plain", isEstimated: true, fullPart: 0.1, lists: "predicate" },
    { name: filteredEngines, kind: "engine", isEstimated: true, fullPart: 0.1, lists: "filtered" },
    { name: "engines, estimates, predicate", kind: "engine", isEstimated: true, fullPart: 0.1, lists: "predicate" },
    { name: "engines, estimates, 98% full", kind: "engine", isEstimated: true, fullPart: 0.98 },
    { name: "engines, estimates, all full", kind: "engine", isEstimated: true, fullPart: 1 },
];

function measure({ name, ...options }: Variant, endpoints: number, perSecond: number, seed: number): SeriesPoint {
    const fixture = new ChoiceFixture({ ...options, endpoints, seed });
    const intervalMs = 1_000 / perSecond;
    for (let i = 0; i < warmUpChoices; i++) {
        fixture.decide(intervalMs);
    }
    let sent = 0;
    const startedAt = process.cpuUsage();
    const wallAt = performance.now();
    for (let i = 0; i < measuredChoices; i++) {
        sent += fixture.decide(intervalMs).kind === "send" ? 1 : 0;
    }
    const wallMs = performance.now() - wallAt;
    const { user, system } = process.cpuUsage(startedAt);
    const cpuUs = (user + system) / measuredChoices;
    return {
        variant: name,
        setting: { endpoints, perSecond },
        figures: {
            cpuUsPerChoice: cpuUs,
            wallUsPerChoice: wallMs * 1_000 / measuredChoices,
            percentOfCore: cpuUs * perSecond / 10_000,
            sentPart: sent / measuredChoices,
        },
    };
}

/** Processor time of one choice of an endpoint, by the number of endpoints of the service. */
export class ChoiceExperiment extends Experiment {
    override readonly name = "choice";
    override readonly description = "processor time of a choice among up to 7,400 endpoints of one service";
    override readonly reproducible = false;

    override run(seed: number): Promise<ExperimentResult> {
        const points = variants.flatMap(variant =>
            endpointCounts.flatMap(endpoints =>
                ratesPerSecond.map(perSecond => measure(variant, endpoints, perSecond, seed))
            )
        );
        const largest = (perSecond: number): number =>
            Math.max(
                ...points.filter(({ variant }) => variant !== filteredPlain && variant !== filteredEngines)
                    .filter(({ setting }) => setting.endpoints === 7_400 && setting.perSecond === perSecond)
                    .map(({ figures }) => figures.percentOfCore ?? 0),
            );
        return Promise.resolve({
            experiment: this.name,
            seed,
            settings: { warmUpChoices, measuredChoices },
            points,
            targets: [
                atMost("choices at 7,400 endpoints and 30 requests/s", controlPercent, largest(30), "% of a core"),
            ],
        });
    }
}
