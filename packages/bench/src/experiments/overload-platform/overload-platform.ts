import {
    type Candidate,
    type DispatchRequest,
    EngineModel,
    EngineSpeedEstimate,
    type EstimatedLoad,
    LatencyModel,
    type Prediction,
    type PrefixCacheIndex,
    type PromptAffinity,
} from "@lentilramp/dispatch";
import { SeededRandom } from "@lentilramp/runtime";
import { atLeast, Experiment, type ExperimentResult, type SeriesPoint } from "../../experiment.ts";
import { EventQueue } from "../../fakes/event-queue.ts";
import { mean } from "../../statistics.ts";
import {
    engineOptions,
    type FleetModelOptions,
    type FleetPolicy,
    IngressFleet,
    type PromptOutcome,
} from "./ingress-fleet.ts";
import { type PromptArrival, promptArrivals, type PromptLoadOptions, requestKinds } from "./prompt-load.ts";

const seeds = 10;
const endMs = 20_000;
/** The trouble begins and ends at these instants. */
const fromMs = 5_000;
const untilMs = 11_000;
/** Answers that are still under way when the arrivals end get this long. */
const afterMs = 10_000;
/** Credit of a late answer, from the sheets. */
const latePart = 0.1;

/** Prediction by an ingress that has measured the engines; learning is not what is compared here. */
function knownSpeed(memory: PrefixCacheIndex, home: PromptAffinity): EngineModel {
    return new EngineModel(memory, home, new EngineSpeedEstimate(1 / engineOptions.promptTokenMs));
}

/** The policy of the first version: predictions from reported loads only. */
class ReportedLoadModel extends LatencyModel {
    constructor(private readonly model: LatencyModel) {
        super();
    }

    override predict(req: DispatchRequest, endpoint: Candidate, load: EstimatedLoad): Prediction {
        return this.model.predict(req, endpoint, { ...load, firstByteDelayMs: 0 });
    }

    override snapshot(): ReportedLoadModel {
        return new ReportedLoadModel(this.model.snapshot());
    }
}

export const policies: Readonly<Record<"first" | "present", FleetPolicy>> = {
    first: {
        model: (memory, home) => new ReportedLoadModel(knownSpeed(memory, home)),
        // Both the reporter and the reader talk to a steward each 250 ms.
        reportMs: 250,
        reportDelayMs: 135,
    },
    present: {
        model: (memory, home) => knownSpeed(memory, home),
        reportMs: 30,
        reportDelayMs: 5,
    },
};

const duringTrouble = (value: number, otherwise: number) => (at: number): number =>
    at >= fromMs && at < untilMs ? value : otherwise;

interface Trouble {
    load?: Partial<PromptLoadOptions>;
    fleet?: Partial<FleetModelOptions>;
}

const troubles: Readonly<Record<string, Trouble>> = {
    "calm": {},
    "burst": { load: { factor: duringTrouble(1.7, 1) } },
    "hot-key": { load: { hotShare: duringTrouble(0.5, 0), factor: duringTrouble(1.3, 1) } },
    "hot-workspace": { load: { workspaceFactor: duringTrouble(4, 1) } },
    "retry-abuse": { load: { factor: duringTrouble(1.5, 1) }, fleet: { abusers: 0.3 } },
    "quarter-lost": { fleet: { losses: [{ at: fromMs, engines: 2 }] } },
    "reclaim-dry": { fleet: { losses: [{ at: fromMs, engines: 2 }, { at: fromMs + 1_500, engines: 2 }] } },
};

/** Plays one trouble with one policy. */
export function playOverload(
    seed: number,
    trouble: Trouble,
    policy: FleetPolicy,
    perSecond = 180,
    shape = { ingresses: 6, engines: 8, slots: 128 },
): PromptOutcome[] {
    const clock = new EventQueue();
    const arrivals = promptArrivals(new SeededRandom(seed), {
        perSecond,
        endMs,
        factor: () => 1,
        hotShare: () => 0,
        workspaceFactor: () => 1,
        ...trouble.load,
    });
    const fleet = new IngressFleet(clock, new SeededRandom(seed + 1_000), {
        ...shape,
        policy,
        losses: [],
        abusers: 0,
        ...trouble.fleet,
    });
    for (const arrival of arrivals) {
        fleet.submit(arrival);
    }
    clock.runUntil(endMs + afterMs);
    return fleet.outcomes;
}

/** Credit of a request that is answered on time, by its size against the mean of its kind. */
function worth({ kind, promptTokens }: PromptArrival): number {
    const mean = kind.shared.reduce((sum, { tokens }) => sum + tokens, kind.ownTokens);
    return Math.min(4, 0.3 + 0.7 * promptTokens / mean) * kind.worth;
}

/** Share of the credit that was earned, and the shares of what was refused or late. */
export function summarize(outcomes: readonly PromptOutcome[]): Record<string, number> {
    let owed = 0;
    let earned = 0;
    for (const { arrival, kind } of outcomes) {
        owed += worth(arrival);
        earned += worth(arrival) * (kind === "on-time" ? 1 : kind === "late" ? latePart : 0);
    }
    const share = (kind: PromptOutcome["kind"], list = outcomes): number =>
        list.filter(outcome => outcome.kind === kind).length / Math.max(1, list.length);
    const kinds = requestKinds.map(({ name }) => {
        const own = outcomes.filter(({ arrival }) => arrival.kind.name === name);
        return [`${name}OnTime`, share("on-time", own)];
    });
    return {
        credit: earned / owed,
        onTime: share("on-time"),
        late: share("late"),
        refused: share("refused"),
        failed: share("failed"),
        ...Object.fromEntries(kinds),
    };
}

/** Plays the loads that the users fear against the stand-in engines, with the present and the first policy. */
export class OverloadPlatformExperiment extends Experiment {
    override readonly name = "overload-platform";
    override readonly description = "who is served on time under overload, against the first policy";
    override readonly reproducible = true;

    override async run(seed: number): Promise<ExperimentResult> {
        const points: SeriesPoint[] = [];
        const gains: number[] = [];
        for (const [name, trouble] of Object.entries(troubles)) {
            const pooled = new Map<string, Record<string, number>[]>();
            for (let i = 0; i < seeds; i++) {
                for (const [variant, policy] of Object.entries(policies)) {
                    const figures = summarize(playOverload(seed * seeds + i, trouble, policy));
                    pooled.set(variant, [...pooled.get(variant) ?? [], figures]);
                }
            }
            for (const [variant, runs] of pooled) {
                points.push({ variant, setting: { trouble: name }, figures: pool(runs) });
            }
            const present = pooled.get("present") ?? [];
            const first = pooled.get("first") ?? [];
            gains.push(lowerEnd(present.map((run, i) => (run.credit ?? 0) - (first[i]?.credit ?? 0))));
        }
        return {
            experiment: this.name,
            seed,
            settings: { seeds, endMs, fromMs, untilMs, requestsPerSecond: 180 },
            points,
            targets: [
                atLeast(
                    "credit above that of the first policy, lower end of the 95% interval in the worst trouble",
                    0,
                    Math.min(...gains),
                    "of the credit owed",
                ),
            ],
        };
    }
}

/** Half of the width of the 95% interval of the mean, by the normal approximation. */
function halfWidth(values: readonly number[]): number {
    const center = mean(values);
    const variance = values.reduce((sum, value) => sum + (value - center) ** 2, 0) / Math.max(1, values.length - 1);
    return 1.96 * Math.sqrt(variance / Math.max(1, values.length));
}

function lowerEnd(values: readonly number[]): number {
    return mean(values) - halfWidth(values);
}

function pool(runs: readonly Record<string, number>[]): Record<string, number> {
    const names = Object.keys(runs[0] ?? {});
    const figures = names.map(name => [name, mean(runs.map(run => run[name] ?? 0))]);
    return { ...Object.fromEntries(figures), creditHalfWidth: halfWidth(runs.map(run => run.credit ?? 0)) };
}
