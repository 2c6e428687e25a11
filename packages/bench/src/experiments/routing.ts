import type { EngineRequest, Priority, RoutingPolicy } from "@lentilramp/routing";
import { PredictedFirstTokenPolicy } from "@lentilramp/routing";
import type { RandomSource } from "@lentilramp/runtime";
import { SeededRandom } from "@lentilramp/runtime";
import { LeastOutstandingPolicy, RandomPolicy, RoundRobinPolicy } from "../baselines/baseline-policy.ts";
import type { ExperimentResult, SeriesPoint } from "../experiment.ts";
import { atLeast, Experiment } from "../experiment.ts";
import { Cluster, clusterDefaults } from "../fakes/cluster.ts";
import { EventQueue } from "../fakes/event-queue.ts";
import { LatencyRecorder } from "../fakes/latency-recorder.ts";
import type { Session } from "../fakes/workload.ts";
import { Workload } from "../fakes/workload.ts";

type PolicyFactory = (random: RandomSource) => RoutingPolicy<EngineRequest>;

/** Longer than nearly all chats, so that the measured minute has as many later turns as first ones. */
const warmUpMs = 100_000;
const measuredMs = 60_000;
const endMs = warmUpMs + measuredMs;
/** Sessions go on arriving for this long, so that the last measured requests finish under the same load. */
const afterMs = 20_000;
/** A caller keeps the answer of an address lookup, and so its entry, for this long. */
const addressValidityMs = 30_000;
const loads = [0.5, 0.7, 0.85, 0.95];
/** Offered sessions a second among which the full load is looked for. */
const offeredSessions = [24, 28, 32, 36, 40] as const;
const lagsMs = [100, 500, 2_000, 5_000];

const baselines: Readonly<Record<string, PolicyFactory>> = {
    "random": random => new RandomPolicy(random),
    "round-robin": random => new RoundRobinPolicy(random),
    "least-outstanding": random => new LeastOutstandingPolicy(random),
};

interface RunFigures {
    completedPerSecond: number;
    figures: Record<string, number>;
}

/** Runs one policy under one load; the sessions depend on the seed and the rate only. */
export function runPolicy(
    seed: number,
    sessionsPerSecond: number,
    lagMs: number,
    policy: PolicyFactory,
    onlyPriority?: Priority,
): RunFigures {
    const clock = new EventQueue();
    const random = new SeededRandom(seed + 1);
    const cluster = new Cluster(clock, random, () => policy(random), { ...clusterDefaults, lagMs });
    cluster.startPublishing();
    const firstToken = new LatencyRecorder();
    const interToken = new LatencyRecorder();
    let completed = 0;

    const runTurn = (session: Session, index: number, entryIndex: number, lookedUpAt: number) => {
        const turn = session.turns[index];
        if (turn === undefined) {
            return;
        }
        const startedAt = clock.now();
        const fresh = startedAt - lookedUpAt < addressValidityMs;
        const chosen = fresh ? entryIndex : random.nextInt(cluster.entries.length);
        const entry = cluster.entries[chosen] as Cluster["entries"][number];
        const measured = startedAt >= warmUpMs && startedAt < endMs;
        let previous = startedAt;
        const req = { ...turn, model: "desk", priority: onlyPriority ?? session.priority, deadline: Infinity };
        cluster.send(entry, req, turn.outputTokens, offset => {
            const now = clock.now();
            if (measured) {
                (offset === 0 ? firstToken : interToken).record(now - previous);
            }
            previous = now;
        }, () => {
            completed += clock.now() >= warmUpMs && clock.now() < endMs ? 1 : 0;
            const next = session.turns[index + 1];
            if (next !== undefined) {
                clock.schedule(
                    clock.now() + next.thinkMs,
                    () => runTurn(session, index + 1, chosen, fresh ? lookedUpAt : startedAt),
                );
            }
        });
    };
    for (const session of new Workload(new SeededRandom(seed)).sessions(sessionsPerSecond, 0, endMs + afterMs)) {
        clock.schedule(session.at, () => runTurn(session, 0, 0, -Infinity));
    }
    clock.runUntil(endMs + afterMs);
    const engines = [...cluster.engines.values()];
    const prompt = engines.reduce((sum, engine) => sum + engine.promptTokens, 0);
    const cached = engines.reduce((sum, engine) => sum + engine.cachedTokens, 0);
    return {
        completedPerSecond: completed / (measuredMs / 1000),
        figures: {
            firstTokenP50Ms: firstToken.percentile(50),
            firstTokenP95Ms: firstToken.percentile(95),
            firstTokenP99Ms: firstToken.percentile(99),
            interTokenP50Ms: interToken.percentile(50),
            interTokenP95Ms: interToken.percentile(95),
            cacheHitRatio: cached / prompt,
            recomputedTokens: prompt - cached,
            requests: firstToken.count,
        },
    };
}

/** Compares the choice of engines with simple policies, under several loads and report lags. */
export class RoutingExperiment extends Experiment {
    override readonly name = "routing";
    override readonly description = "first-token time and cache hits of endpoint choice, against simple policies";
    override readonly reproducible = true;

    override async run(seed: number): Promise<ExperimentResult> {
        const capacity = fullSessionRate(seed);
        const points: SeriesPoint[] = [];
        let worst = Infinity;
        let worstAt85 = Infinity;
        for (const load of loads) {
            const rate = load * capacity;
            const baselineFigures = Object.entries(baselines).map(([variant, policy]) => {
                const { figures } = runPolicy(seed, rate, 500, policy);
                points.push({ variant, setting: { load }, figures });
                return figures;
            });
            const reference = baselineFigures.at(-1)?.firstTokenP95Ms ?? NaN;
            for (const lagMs of lagsMs) {
                const { figures } = runPolicy(seed, rate, lagMs, random => new PredictedFirstTokenPolicy(random));
                const gain = reference / (figures.firstTokenP95Ms ?? NaN);
                points.push({ variant: "predicted", setting: { load, lagMs }, figures: { ...figures, gain } });
                worst = Math.min(worst, gain);
                worstAt85 = load === 0.85 ? Math.min(worstAt85, gain) : worstAt85;
            }
        }
        return {
            experiment: this.name,
            seed,
            settings: {
                replicas: clusterDefaults.engines,
                entries: clusterDefaults.entries,
                sessionsPerSecondAtFullLoad: capacity,
                warmUpMs,
                measuredMs,
                cacheLoss: clusterDefaults.cacheLoss,
            },
            points,
            targets: [
                atLeast("p95 of the first token at 85% load, gain at the worst lag", 2, worstAt85, "times"),
                atLeast("p95 of the first token, gain at the worst point", 1, worst, "times"),
            ],
        };
    }
}

/**
 * Sessions a second at full load: the highest rate at which requests complete with least outstanding, over several
 * offered rates and without priorities, divided by the mean number of requests of a session.
 */
export function fullSessionRate(seed: number): number {
    const sessions = new Workload(new SeededRandom(seed)).sessions(offeredSessions[0], 0, endMs);
    const requests = sessions.reduce((sum, session) => sum + session.turns.length, 0);
    const completed = offeredSessions.map(rate =>
        runPolicy(seed, rate, 500, random => new LeastOutstandingPolicy(random), "normal").completedPerSecond
    );
    return Math.max(...completed) / (requests / sessions.length);
}
