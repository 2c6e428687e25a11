import { LinearCapacity, type StartOrder } from "@lentilramp/placement";
import { SeededRandom } from "@lentilramp/runtime";
import {
    atLeast,
    atMost,
    Experiment,
    type ExperimentResult,
    type SeriesPoint,
    type TargetResult,
} from "../../experiment.ts";
import { CloudFake } from "./cloud-fake.ts";
import { type CostDeployment, costDeployments, type CostSettings, costSettings } from "./cost-settings.ts";
import { DemandCurve } from "./demand-curve.ts";
import { FixedMixHolder, type FleetHolder, PlannedHolder } from "./fleet-holder.ts";

const dayMs = 86_400_000;
const hourMs = 3_600_000;
const allowedLossPoints = 0.1;

interface Outcome {
    costPerDay: number;
    withinTargetPercent: number;
    movedTokens: number;
    reclaimed: number;
    refusedStarts: number;
    meanInstances: number;
}

/** Cost of holding instances for a day of demand, against simple ways and the bound with knowledge of the future. */
export class CostExperiment extends Experiment {
    readonly name = "cost";
    readonly description = "cost and latency of holding instances for the demand of days with reclaims and refusals";
    readonly reproducible = true;

    override async run(seed: number): Promise<ExperimentResult> {
        const settings = costSettings.parse({});
        const points: SeriesPoint[] = [];
        const targets: TargetResult[] = [];
        for (const deployment of costDeployments) {
            const outcomes = new Map<string, Outcome>();
            for (const holder of this.holders(deployment, settings, seed)) {
                const outcome = simulate(holder, deployment, settings, seed);
                outcomes.set(holder.name, outcome);
                points.push({
                    variant: holder.name,
                    setting: { deployment: deployment.name },
                    figures: { ...outcome },
                });
            }
            points.push({
                variant: "bound with knowledge of the future",
                setting: { deployment: deployment.name },
                figures: { costPerDay: cheapestPossible(deployment, settings, seed) },
            });
            const planned = outcomes.get("planner") as Outcome;
            const onDemand = outcomes.get("on demand only") as Outcome;
            targets.push(
                atMost(
                    `${deployment.name}: cost against on demand only`,
                    deployment.costTarget,
                    planned.costPerDay / onDemand.costPerDay,
                    "times",
                ),
                atLeast(
                    `${deployment.name}: share within the latency target against on demand only`,
                    -allowedLossPoints,
                    planned.withinTargetPercent - onDemand.withinTargetPercent,
                    "percentage points",
                ),
            );
        }
        return { experiment: this.name, seed, settings: flatten(settings), points, targets };
    }

    private holders(deployment: CostDeployment, settings: CostSettings, seed: number): FleetHolder[] {
        const { costWeight, peakSlots } = deployment;
        const slots = slotsOf(settings);
        return [
            new PlannedHolder("planner", settings, costWeight, new SeededRandom(seed)),
            new PlannedHolder(
                "on demand only",
                settings,
                costWeight,
                new SeededRandom(seed),
                price => price.market === "on-demand",
            ),
            new PlannedHolder(
                "cheapest reclaimable only",
                settings,
                1,
                new SeededRandom(seed),
                price => price.market === "reclaimable" && price.failureDomain === "domain-1",
            ),
            new FixedMixHolder(Math.ceil(peakSlots * (1 + settings.burstShare) / slots("gpu-m"))),
        ];
    }
}

function flatten(settings: CostSettings): Record<string, number | string> {
    return Object.fromEntries(
        Object.entries(settings).map((
            [key, value],
        ) => [key, typeof value === "object" ? JSON.stringify(value) : value]),
    );
}

function slotsOf({ stepBaseMs, stepPerRequestMs, tokenLatencyMs }: CostSettings): (machineClass: string) => number {
    const capacity = new LinearCapacity({}, { baseMs: stepBaseMs, perRequestMs: stepPerRequestMs });
    return machineClass => capacity.slots(machineClass, tokenLatencyMs);
}

/** Runs the days of one holder. Demand, reclaims and prices have random sources of their own. */
function simulate(holder: FleetHolder, deployment: CostDeployment, settings: CostSettings, seed: number): Outcome {
    const demand = new DemandCurve(settings, deployment.peakSlots, new SeededRandom(seed));
    const cloud = new CloudFake(settings, new SeededRandom(seed + 1));
    const slots = slotsOf(settings);
    const firstCounted = dayMs / settings.stepMs;
    const total = { demand: 0, within: 0, instances: 0, steps: 0 };
    let before = { cost: 0, moved: 0, reclaimed: 0, refused: 0 };
    let noticed: string[] = [];
    for (let step = 0; step < demand.steps; step++) {
        const now = step * settings.stepMs;
        const needed = demand.at(step);
        // A notice of a few seconds is over within the step after it.
        noticed.forEach(id => cloud.lose(id));
        const serving = cloud.servingSlots(slots);
        noticed = cloud.advance(now, serving === 0 ? 0 : Math.min(1, needed / serving), slots);
        noticed.forEach(id => holder.onNotice(id));
        carryOut(holder, cloud, needed, now);
        if (step === firstCounted) {
            before = {
                cost: cloud.cost,
                moved: cloud.movedRequests,
                reclaimed: cloud.reclaimed,
                refused: cloud.refused,
            };
        }
        if (step >= firstCounted) {
            total.demand += needed;
            total.within += Math.min(needed, serving);
            total.instances += cloud.held.size;
            total.steps++;
        }
    }
    return {
        costPerDay: (cloud.cost - before.cost) / (settings.days - 1),
        withinTargetPercent: 100 * total.within / total.demand,
        movedTokens: (cloud.movedRequests - before.moved) * settings.tokensPerRequest,
        reclaimed: cloud.reclaimed - before.reclaimed,
        refusedStarts: cloud.refused - before.refused,
        meanInstances: total.instances / total.steps,
    };
}

function carryOut(holder: FleetHolder, cloud: CloudFake, slots: number, now: number): void {
    for (const order of holder.plan(cloud, slots, now)) {
        switch (order.kind) {
            case "start":
                startInstance(holder, cloud, order, now);
                break;
            case "drain":
                cloud.drain(order.instanceId);
                break;
            case "stop":
                cloud.stop(order.instanceId);
                break;
            case "load-model":
                cloud.load(order.instanceId, now);
                break;
            case "load-adapter":
            case "load-version":
            case "set-role":
                break;
        }
    }
}

function startInstance(holder: FleetHolder, cloud: CloudFake, order: StartOrder, now: number): void {
    const result = cloud.start(order, now);
    if (result === "refused") {
        holder.onRefused(order, now);
    }
    else if (result === "spent") {
        holder.onSpent(order);
    }
}

/** Whole instances for the demand of each step at the lowest price of that step, started and stopped without delay. */
function cheapestPossible(deployment: CostDeployment, settings: CostSettings, seed: number): number {
    const demand = new DemandCurve(settings, deployment.peakSlots, new SeededRandom(seed));
    const cloud = new CloudFake(settings, new SeededRandom(seed + 1));
    const slots = slotsOf(settings);
    let cost = 0;
    for (let step = dayMs / settings.stepMs; step < demand.steps; step++) {
        const prices = cloud.prices(step * settings.stepMs);
        const cheapest = Math.min(
            ...prices.map(price => price.pricePerHour * Math.ceil(demand.at(step) / slots(price.machineClass))),
        );
        cost += cheapest * settings.stepMs / hourMs;
    }
    return cost / (settings.days - 1);
}
