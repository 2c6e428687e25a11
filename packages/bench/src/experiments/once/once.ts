import type { ExperimentResult, SeriesPoint } from "../../experiment.ts";
import { atLeast, atMost, Experiment } from "../../experiment.ts";
import { crashPlans, orderPlans, randomPlans } from "./plans.ts";
import type { RunPlan, RunResult } from "./world.ts";
import { runPlan } from "./world.ts";

const crashVariants = 4;
const randomRuns = 20_000;
const kinds = ["completed", "not-run", "in-progress", "unknown", "undecided", "key-reused", "no-answer"] as const;

/** Counts over the runs of one family of plans. */
class Tally {
    runs = 0;
    executed = 0;
    readonly violations = new Map<string, number>();
    private readonly copies = new Map<string, number>();
    private readonly inspections = new Map<string, number>();

    add(result: RunResult): void {
        this.runs++;
        this.executed += Math.min(1, result.executions);
        new Set(result.violations).forEach(name => increment(this.violations, name));
        result.copies.forEach(kind => increment(this.copies, kind));
        result.inspections.forEach(kind => increment(this.inspections, kind));
    }

    point(family: string): SeriesPoint {
        const figures: Record<string, number> = { runs: this.runs, executed: this.executed };
        for (const [prefix, counts] of [["copy", this.copies], ["inspection", this.inspections]] as const) {
            const total = [...counts.values()].reduce((a, b) => a + b, 0);
            for (const kind of kinds.filter(candidate => counts.has(candidate))) {
                figures[`${prefix}-${kind}-percent`] = 100 * (counts.get(kind) ?? 0) / total;
            }
        }
        return { variant: "claims", setting: { family }, figures };
    }
}

function increment(counts: Map<string, number>, name: string): void {
    counts.set(name, (counts.get(name) ?? 0) + 1);
}

async function tally(plans: Iterable<RunPlan> | AsyncIterable<RunPlan>): Promise<Tally> {
    const result = new Tally();
    for await (const plan of plans) {
        result.add(await runPlan(plan));
    }
    return result;
}

/** At-most-once execution over crash points, orders of two copies, and random faults. */
export class OnceExperiment extends Experiment {
    override readonly name = "once";
    override readonly description = "at-most-once execution under crashes, copies, and message and disk faults";
    override readonly reproducible = true;

    override async run(seed: number): Promise<ExperimentResult> {
        const families = {
            "crash-points": await tally(crashPlans(seed, crashVariants)),
            "orders": await tally(orderPlans()),
            "orders-other-body": await tally(orderPlans(undefined, "deposit 90 EUR")),
            "random": await tally(randomPlans(seed, randomRuns)),
        };
        const all = Object.values(families);
        const violations = (name: string) => all.reduce((sum, family) => sum + (family.violations.get(name) ?? 0), 0);
        return {
            experiment: this.name,
            seed,
            settings: { crashVariants, randomRuns },
            points: Object.entries(families).map(([name, family]) => family.point(name)),
            targets: [
                atMost("double executions", 0, violations("double execution"), "runs"),
                atMost("untrue not-run", 0, violations("untrue not-run"), "runs"),
                atMost("answers of no execution", 0, violations("answer of no execution"), "runs"),
                atMost("answers to another body", 0, violations("answer to another body"), "runs"),
                // Guards against a run that finds nothing because nothing is executed.
                atLeast("runs with an execution", 1_000, all.reduce((sum, family) => sum + family.executed, 0), "runs"),
            ],
        };
    }
}
