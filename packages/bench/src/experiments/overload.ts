import { PredictedFirstTokenPolicy } from "@lentilramp/routing";
import { SeededRandom } from "@lentilramp/runtime";
import murmurhash from "murmurhash";
import type { ExperimentResult, SeriesPoint } from "../experiment.ts";
import { atLeast, atMost, Experiment } from "../experiment.ts";
import { Cluster, clusterDefaults } from "../fakes/cluster.ts";
import { EventQueue } from "../fakes/event-queue.ts";
import type { Gate } from "../fakes/gate.ts";
import { FairGate, FifoGate, OpenGate } from "../fakes/gate.ts";
import { LatencyRecorder } from "../fakes/latency-recorder.ts";
import type { Session, Turn } from "../fakes/workload.ts";
import { Workload } from "../fakes/workload.ts";

const entries = 8;
const addressValidityMs = 30_000;
const overloadFromMs = 60_000;
const overloadUntilMs = 120_000;
const arrivalsUntilMs = 160_000;
const endMs = 240_000;
/** Shares of the capacity that the workspaces ask for; the first one is large. */
const normalShares = [0.4, 0.05, 0.05, 0.05, 0.05] as const;
const overloadShare = 1.8;
/** Mean requests of a session of the default workload: chats of 4 turns are 0.6 of the sessions. */
const meanTurns = 2.8;
/** Time before the first request in which sessions already start; longer than nearly all chats. */
const settleMs = 120_000;
/** Time that a caller waits for the end of an answer, by kind; an answer of 300 tokens takes 15 s at full load. */
const deadlineMs = { chat: 20_000, draft: 40_000, summary: 60_000 };
/** Window for the comparison of the first-token time after the overload with that before it. */
const windowMs = 3_000;
const windowStepMs = 1_000;
const recoveredWindows = 5;
const recoveryTolerance = 1.1;
/** Assumed length of an answer in the expected cost; the real one is not known before its end. */
const expectedOutputTokens = { chat: 180, draft: 350, summary: 275 };
/** Offered loads in requests a second among which the capacity is looked for. */
const capacityOffers = [70, 80, 90, 100, 120, 150];
/** Engine time of an output token in units of that of a prompt token. */
const outputCost = 5;

interface Arrival {
    at: number;
    session: Session;
    turn: Turn;
    /** True for the requests that make the overload. */
    extra: boolean;
}

interface Outcome {
    arrival: Arrival;
    firstTokenMs: number | undefined;
    endedAt: number | undefined;
}

function tokens(turn: Turn): number {
    return turn.promptTokens + outputCost * turn.outputTokens;
}

/**
 * Requests in [from, until) at instants that do not depend on the answers: a refused turn does not lower the
 * offered load. Sessions start long before `from`, so that the rate is the same from the first second on.
 */
function arrivals(
    workload: Workload,
    random: SeededRandom,
    workspace: number,
    requestsPerSecond: number,
    from: number,
    until: number,
    extra: boolean,
): Arrival[] {
    const list: Arrival[] = [];
    const meanGapMs = 1000 * meanTurns / requestsPerSecond;
    const gap = () => -meanGapMs * Math.log(1 - random.next());
    for (let at = from - settleMs + gap(); at < until; at += gap()) {
        const session = workload.session(at, workspace);
        let turnAt = at;
        for (const turn of session.turns) {
            turnAt += turn.thinkMs;
            if (turnAt >= from && turnAt < until) {
                list.push({ at: turnAt, session, turn, extra });
            }
            turnAt += turn.outputTokens * 20;
        }
    }
    return list;
}

/** Requests of all workspaces: the normal shares throughout, and more of the large one during the overload. */
function offered(seed: number, requestsPerSecond: number, extraShare: number, until: number): Arrival[] {
    const random = new SeededRandom(seed);
    const workload = new Workload(random);
    const list = normalShares.flatMap((share, workspace) =>
        arrivals(workload, random, workspace, share * requestsPerSecond, 0, until, false)
    );
    if (extraShare > 0) {
        const rate = extraShare * requestsPerSecond;
        list.push(...arrivals(workload, random, 0, rate, overloadFromMs, overloadUntilMs, true));
    }
    return list.sort((a, b) => a.at - b.at);
}

/** A caller keeps its entry while the answer of its address lookup is valid. */
function entryOf(session: Session, at: number): number {
    const lookup = Math.floor((at - session.at) / addressValidityMs);
    return murmurhash.v3(`${session.workspace} ${session.at} ${lookup}`) % entries;
}

function run(seed: number, requests: readonly Arrival[], makeGate: (clock: EventQueue) => Gate): Outcome[] {
    const clock = new EventQueue();
    const random = new SeededRandom(seed + 1);
    const policy = () => new PredictedFirstTokenPolicy(random);
    const cluster = new Cluster(clock, random, policy, { ...clusterDefaults, entries });
    cluster.startPublishing();
    const gates = cluster.entries.map(() => makeGate(clock));
    const outcomes = requests.map(arrival => ({ arrival, firstTokenMs: undefined, endedAt: undefined } as Outcome));
    outcomes.forEach(outcome => {
        const { session, turn, at } = outcome.arrival;
        const index = entryOf(session, at);
        clock.schedule(at, () => {
            const { kind, priority, workspace } = session;
            const deadline = at + deadlineMs[kind];
            const entry = cluster.entries[index] as Cluster["entries"][number];
            const cached = Math.min(turn.promptTokens, 64 * entry.table.longestMatch(turn.prefix, at));
            const nominal = turn.promptTokens + outputCost * expectedOutputTokens[kind];
            const cost = nominal - cached;
            gates[index]?.offer({
                request: {
                    workspace: `${workspace}`,
                    priority,
                    deadline,
                    cost,
                    cachedShare: cached / nominal,
                    kind,
                },
                start: (onFirstToken, onEnd) => {
                    const startedAt = clock.now();
                    const req = { ...turn, model: "desk", priority, deadline };
                    return cluster.send(
                        entry,
                        req,
                        turn.outputTokens,
                        offset => {
                            if (offset === 0) {
                                outcome.firstTokenMs = clock.now() - at;
                                onFirstToken(clock.now() - startedAt);
                            }
                        },
                        () => {
                            outcome.endedAt = clock.now();
                            onEnd();
                        },
                    );
                },
                refused: () => undefined,
            });
        });
    });
    clock.runUntil(endMs);
    return outcomes;
}

function inTime({ arrival, endedAt }: Outcome): boolean {
    return endedAt !== undefined && endedAt <= arrival.at + deadlineMs[arrival.session.kind];
}

/** Rates of requests and tokens whose answers end in [from, until) of the given outcomes. */
function rates(outcomes: readonly Outcome[], from: number, until: number): { requests: number; tokens: number; } {
    const ended = outcomes.filter(({ endedAt }) => endedAt !== undefined && endedAt >= from && endedAt < until);
    const seconds = (until - from) / 1000;
    return {
        requests: ended.length / seconds,
        tokens: ended.reduce((sum, { arrival }) => sum + tokens(arrival.turn), 0) / seconds,
    };
}

function windowP95(outcomes: readonly Outcome[], from: number): number {
    const recorder = new LatencyRecorder();
    for (const { arrival, firstTokenMs } of outcomes) {
        if (firstTokenMs !== undefined && arrival.at >= from && arrival.at < from + windowMs) {
            recorder.record(firstTokenMs);
        }
    }
    return recorder.percentile(95);
}

/**
 * Compares the first-token time after the overload with the worst window before it or, if higher, with the same
 * window of the run without overload, whose requests are the same. `recoveryMs` is the time
 * from the end of the overload to the first of several windows in a row within the tolerance; `lastSlowMs` is
 * the time to the last window outside it, which also counts chance.
 */
function recovery(
    outcomes: readonly Outcome[],
    control: readonly Outcome[],
): { recoveryMs: number; lastSlowMs: number; } {
    let normal = 0;
    for (let from = 20_000; from <= overloadFromMs - windowMs; from += windowStepMs) {
        normal = Math.max(normal, windowP95(outcomes, from));
    }
    let recoveryMs = Infinity;
    let lastSlowMs = 0;
    let inRow = 0;
    for (let from = overloadUntilMs; from <= arrivalsUntilMs - windowMs; from += windowStepMs) {
        const usual = Math.max(normal, windowP95(control, from));
        const slow = windowP95(outcomes, from) > recoveryTolerance * usual;
        inRow = slow ? 0 : inRow + 1;
        lastSlowMs = slow ? from + windowStepMs - overloadUntilMs : lastSlowMs;
        if (inRow === recoveredWindows && recoveryMs === Infinity) {
            recoveryMs = from - (recoveredWindows - 1) * windowStepMs - overloadUntilMs;
        }
    }
    return { recoveryMs, lastSlowMs };
}

/** Offers twice the capacity for a minute, most of it from one large workspace. */
export class OverloadExperiment extends Experiment {
    override readonly name = "overload";
    override readonly description = "goodput, fairness and recovery at twice the capacity, against simple admission";
    override readonly reproducible = true;

    override async run(seed: number): Promise<ExperimentResult> {
        const capacity = capacityRates(seed);
        const requests = offered(seed, capacity.requests, overloadShare - normalShares[0], arrivalsUntilMs);
        const variants: Readonly<Record<string, (clock: EventQueue) => Gate>> = {
            "no limit": () => new OpenGate(),
            "fixed limit, first in first out": () => new FifoGate(64, 500),
            "fair admission": clock => new FairGate(clock),
        };
        const normal = requests.filter(arrival => !arrival.extra);
        const control = run(seed, normal, clock => new FairGate(clock));
        const points: SeriesPoint[] = Object.entries(variants).map(([variant, makeGate]) => ({
            variant,
            setting: {},
            figures: figures(run(seed, requests, makeGate), control, capacity),
        }));
        const candidate = points.at(-1)?.figures ?? {};
        points.push({
            variant: "fair admission, no overload",
            setting: {},
            figures: figures(control, control, capacity),
        });
        return {
            experiment: this.name,
            seed,
            settings: {
                replicas: clusterDefaults.engines,
                entries,
                capacityRequestsPerSecond: capacity.requests,
                capacityTokensPerSecond: capacity.tokens,
            },
            points,
            targets: [
                atLeast("goodput, the lower one of requests and tokens", 0.95, candidate.goodput ?? 0, "of capacity"),
                atLeast("requests of small workspaces within deadline", 0.99, candidate.smallInTime ?? 0, "of all"),
                atMost("recovery of the first-token time", 5_000, candidate.recoveryMs ?? Infinity, "ms"),
            ],
        };
    }
}

function figures(
    outcomes: readonly Outcome[],
    control: readonly Outcome[],
    capacity: { requests: number; tokens: number; },
): Record<string, number> {
    const during = ({ arrival }: Outcome) => arrival.at >= overloadFromMs && arrival.at < overloadUntilMs;
    const small = outcomes.filter(outcome => during(outcome) && outcome.arrival.session.workspace > 0);
    const large = outcomes.filter(outcome => during(outcome) && outcome.arrival.session.workspace === 0);
    const summaries = outcomes.filter(outcome => during(outcome) && outcome.arrival.session.kind === "summary");
    const good = rates(outcomes.filter(inTime), overloadFromMs, overloadUntilMs);
    const firstToken = new LatencyRecorder();
    outcomes.filter(during).forEach(({ firstTokenMs }) => {
        if (firstTokenMs !== undefined) {
            firstToken.record(firstTokenMs);
        }
    });
    return {
        goodput: Math.min(good.requests / capacity.requests, good.tokens / capacity.tokens),
        goodputRequests: good.requests / capacity.requests,
        goodputTokens: good.tokens / capacity.tokens,
        smallInTime: small.filter(inTime).length / small.length,
        largeInTime: large.filter(inTime).length / large.length,
        startedButLate: outcomes.filter(outcome => outcome.firstTokenMs !== undefined && !inTime(outcome)).length,
        firstTokenP95Ms: firstToken.percentile(95),
        summariesInTime: summaries.filter(inTime).length / summaries.length,
        ...recovery(outcomes, control),
    };
}

/**
 * Highest rates of completion over several offered loads, without limits, priorities or deadlines. The highest
 * one is not at the highest load, because long queues lower the cache hits.
 */
function capacityRates(seed: number): { requests: number; tokens: number; } {
    const measured = capacityOffers.map(rate => {
        // The shares of the normal phase sum to 0.6.
        const requests = offered(seed, rate / 0.6, 0, overloadUntilMs);
        const equal = requests.map(arrival => ({
            ...arrival,
            session: { ...arrival.session, priority: "normal" as const },
        }));
        return rates(run(seed, equal, () => new OpenGate()), 40_000, overloadUntilMs);
    });
    return {
        requests: Math.max(...measured.map(rate => rate.requests)),
        tokens: Math.max(...measured.map(rate => rate.tokens)),
    };
}
