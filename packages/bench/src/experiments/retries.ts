import { BudgetedRetryPolicy, QuantileHedgingPolicy, RetryBudget } from "@lentilramp/retries";
import { EndpointTable, LatencyAwarePolicy, LinkTable } from "@lentilramp/routing";
import type { RandomSource } from "@lentilramp/runtime";
import { SeededRandom } from "@lentilramp/runtime";
import { RetryAlways } from "../baselines/retry-always.ts";
import type { ExperimentResult, SeriesPoint } from "../experiment.ts";
import { atMost, Experiment } from "../experiment.ts";
import { EventQueue } from "../fakes/event-queue.ts";
import { LatencyRecorder } from "../fakes/latency-recorder.ts";
import type { CallOptions, RetryingEntry } from "../fakes/retrying-caller.ts";
import { RetryingCall } from "../fakes/retrying-caller.ts";
import type { ServiceState } from "../fakes/service.ts";
import { FakeService } from "../fakes/service.ts";

const entries = 8;
const services = 12;
const failureDomains = ["a", "b", "c"];
const workers = 4;
const callsPerSecond = 600;
const serviceMs = 30;
const failFromMs = 20_000;
const failUntilMs = 50_000;
const callsUntilMs = 80_000;
const endMs = 90_000;
const callTimeMs = 3_000;
const budgetWindowMs = 10_000;

type Variant = "retry always" | "budget" | "budget, ejection and hedging";

interface Call {
    at: number;
    ok: boolean;
}

function makeEntry(variant: Variant, random: RandomSource): RetryingEntry {
    const table = new EndpointTable(new LinkTable({}, { delayMs: 2, cost: 0 }), random);
    table.setEndpoints(Array.from(Array(services).keys(), i => ({
        id: `service-${i}`,
        failureDomain: failureDomains[i % failureDomains.length] as string,
        models: [],
    })));
    const budget = new RetryBudget();
    const complete = variant === "budget, ejection and hedging";
    return {
        table,
        policy: new LatencyAwarePolicy(random),
        retry: variant === "retry always" ? new RetryAlways() : new BudgetedRetryPolicy(budget, random),
        hedging: complete ? new QuantileHedgingPolicy(budget) : undefined,
        ejects: complete,
        recordRequest: now => budget.recordRequest(now),
    };
}

function run(seed: number, variant: Variant, failure: ServiceState): Record<string, number> {
    const clock = new EventQueue();
    const random = new SeededRandom(seed + 1);
    const arrivals = new SeededRandom(seed);
    const fakes = new Map(Array.from(Array(services).keys(), i => [`service-${i}`, new FakeService(clock, workers)]));
    const setState = (state: ServiceState) =>
        [...fakes.values()].forEach((fake, i) => fake.state = i % failureDomains.length === 0 ? state : "up");
    clock.schedule(failFromMs, () => setState(failure));
    clock.schedule(failUntilMs, () => setState("up"));
    const all = Array.from(Array(entries).keys(), () => makeEntry(variant, random));
    const calls: Call[] = [];
    const dispatches: number[] = [];
    const latency = new LatencyRecorder();
    const options: CallOptions = { attemptTimeoutMs: 500, linkDelayMs: 2, onDispatch: at => dispatches.push(at) };
    const gap = () => -Math.log(1 - arrivals.next()) * 1000 / callsPerSecond;
    for (let at = gap(); at < callsUntilMs; at += gap()) {
        const time = -serviceMs * Math.log(1 - arrivals.next());
        const entry = all[arrivals.nextInt(entries)] as RetryingEntry;
        const call = { at, ok: false };
        const id = `${calls.push(call)}`;
        const onEnd = (ok: boolean) => {
            call.ok = ok;
            if (call.at >= failFromMs && call.at < failUntilMs) {
                latency.record(clock.now() - call.at);
            }
        };
        const details = { id, serviceMs: time, deadline: at + callTimeMs, onEnd };
        clock.schedule(at, () => new RetryingCall(clock, entry, fakes, options, details).start());
    }
    clock.runUntil(endMs);
    const during = calls.filter(call => call.at >= failFromMs && call.at < failUntilMs);
    const after = calls.filter(call => call.at >= failUntilMs + 10_000);
    return {
        offeredRatio: ratio(dispatches, calls, failFromMs, failUntilMs),
        worstWindowRatio: worstRatio(dispatches, calls, budgetWindowMs),
        worstSecondRatio: worstRatio(dispatches, calls, 1_000),
        succeeded: during.filter(call => call.ok).length / during.length,
        succeededLater: during.filter(call => call.at >= failFromMs + 5_000 && call.ok).length
            / during.filter(call => call.at >= failFromMs + 5_000).length,
        succeededAfter: after.filter(call => call.ok).length / after.length,
        latencyP99Ms: latency.percentile(99),
    };
}

function ratio(dispatches: readonly number[], calls: readonly Call[], from: number, until: number): number {
    const dispatched = dispatches.filter(at => at >= from && at < until).length;
    return dispatched / calls.filter(({ at }) => at >= from && at < until).length;
}

function worstRatio(dispatches: readonly number[], calls: readonly Call[], windowMs: number): number {
    let worst = 0;
    for (let from = 0; from + windowMs <= callsUntilMs; from += 500) {
        worst = Math.max(worst, ratio(dispatches, calls, from, from + windowMs));
    }
    return worst;
}

/** Fails one of three failure domains and counts what the entries send. */
export class RetriesExperiment extends Experiment {
    override readonly name = "retries";
    override readonly description = "offered load and success while one failure domain of three is down";
    override readonly reproducible = true;

    override async run(seed: number): Promise<ExperimentResult> {
        const points: SeriesPoint[] = [];
        let offered = 0;
        let window = 0;
        for (const failure of ["refusing", "silent"] satisfies ServiceState[]) {
            for (const variant of ["retry always", "budget", "budget, ejection and hedging"] satisfies Variant[]) {
                const figures = run(seed, variant, failure);
                points.push({ variant, setting: { failure }, figures });
                if (variant === "budget, ejection and hedging") {
                    offered = Math.max(offered, figures.offeredRatio ?? Infinity);
                    window = Math.max(window, figures.worstWindowRatio ?? Infinity);
                }
            }
        }
        return {
            experiment: this.name,
            seed,
            settings: { entries, services, workers, callsPerSecond, serviceMs, failFromMs, failUntilMs },
            points,
            targets: [
                atMost("offered load while the failure domain is down", 1.1, offered, "times the callers' own"),
                atMost("offered load in the worst window of 10 s", 1.1, window, "times the callers' own"),
            ],
        };
    }
}
