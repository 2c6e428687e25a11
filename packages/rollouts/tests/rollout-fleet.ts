import {
    applyOrder,
    applyProgress,
    emptyRolloutBook,
    findRollout,
    minLossMs,
    planShare,
    renewsAlways,
    type Rollout,
    type RolloutBook,
    rolloutDefaults,
    RolloutJudge,
    type RolloutReport,
    RolloutReports,
    settleMs,
    shareOf,
    VersionResults,
} from "@lentilramp/rollouts";
import { SeededRandom } from "@lentilramp/runtime";

const stepMs = 20;
const tickMs = 100;
const callTimeoutMs = 600;
const orderedAt = 0;

/** A response of an endpoint in the simulation. */
export interface SimulatedResponse {
    failed: boolean;
    timeMs: number;
}

export interface SimulatedFleet {
    seed?: number;
    ingresses?: number;
    limitMs?: number;
    requestsPerSecond?: (now: number) => number;
    routes?: readonly string[];
    /** Decides on the response of the target or of the old version. */
    respond: (
        isTarget: boolean,
        route: string,
        context: { now: number; share: number; random: SeededRandom; },
    ) => SimulatedResponse;
    /** Whether an ingress refuses a request that would go to the target or to the old version. */
    refuses?: (isTarget: boolean, context: { now: number; random: SeededRandom; }) => boolean;
    /** Whether a sync of an ingress is lost, and the time by which one arrives late, in milliseconds. */
    isLost?: (random: SeededRandom) => boolean;
    lateMs?: (random: SeededRandom) => number;
    /** Instant at which the target's endpoints become ready. */
    readyAt?: number;
    targetSlots?: (now: number) => number;
    /** Instant from which the first ingress has no contact. */
    cutOffAt?: number;
    /** Instants at which the leader is lost; the next one is there 1.2 s later. */
    leaderLostAt?: readonly number[];
}

export interface SimulationResult {
    rollout: Rollout;
    /** Requests that reached an endpoint before the time limit, and those that were sent to the target until then. */
    arrived: number;
    exposed: number;
    /** Instant of the 50th bad response of the target, and of the last request that was sent there. */
    fiftiethBadAt: number;
    lastExposedAt: number;
    endedAt: number | undefined;
    /** Requests that were in flight at old endpoints, or sent there, when `completed` was recorded. */
    strandedAtEnd: number;
    /** Requests that the ingress without contact refuses, because it may use neither version. */
    refusedWithoutContact: number;
    /** Bytes of the largest report. */
    largestReport: number;
    /** Most syncs and renewals in a second. */
    mostCalls: number;
}

class SimulatedIngress {
    readonly results = new VersionResults(orderedAt, "v2");
    share = 0;
    closed = false;
    validUntil = -Infinity;
    othersUntil = Infinity;
    runningAtOld = 0;
    contactAt = -Infinity;
    renewMs: number | undefined;
    renewAt = Infinity;
    nextSyncAt: number;

    constructor(readonly name: string, firstSyncAt: number) {
        this.nextSyncAt = firstSyncAt;
    }

    mayUseOld(now: number): boolean {
        return !this.present(now).closed && now < this.othersUntil;
    }

    present(now: number): { share: number; closed: boolean; } {
        return now < this.validUntil ? this : { share: 0, closed: false };
    }
}

/** Plays one roll-out from "v1" to "v2" on simulated time, without a network. */
export function simulateRollout(fleet: SimulatedFleet): SimulationResult {
    const random = new SeededRandom(fleet.seed ?? 1);
    const limitMs = fleet.limitMs ?? 60_000;
    const routes = fleet.routes ?? ["r"];
    const count = fleet.ingresses ?? 20;
    const syncMs = Math.max(250, 5 * count);
    const targetSlots = fleet.targetSlots ?? (() => 64);
    const ingresses = Array.from({ length: count }, (...[, i]) => new SimulatedIngress(`i${i}`, i * syncMs / count));
    const lossMs = Math.max(minLossMs, 2 * syncMs + 700);
    let book: RolloutBook = applyOrder(emptyRolloutBook, {
        type: "rollout-order",
        service: "app",
        target: "v2",
        orderedAt,
        deadline: limitMs,
        listed: ["v1"],
        repeatsSince: -5_000,
    }).book;
    const rollout = (): Rollout => findRollout(book, "app") as Rollout;
    const lead = (now: number): { judge: RolloutJudge; reports: RolloutReports; } => {
        const reports = new RolloutReports(orderedAt, "v2", now, now > 0);
        return { judge: new RolloutJudge(rollout(), rolloutDefaults, reports), reports };
    };
    let leader: ReturnType<typeof lead> | undefined = lead(0);
    let handedOut = { share: 0, closed: false, othersMs: 0, at: -Infinity };
    const due: { at: number; run: (now: number) => void; }[] = [];
    const result: SimulationResult = {
        rollout: rollout(),
        arrived: 0,
        exposed: 0,
        fiftiethBadAt: Infinity,
        lastExposedAt: -Infinity,
        endedAt: undefined,
        strandedAtEnd: 0,
        refusedWithoutContact: 0,
        largestReport: 0,
        mostCalls: 0,
    };
    const calls: number[] = [];
    const countCall = (now: number): number => {
        calls.push(now);
        calls.splice(0, calls.findIndex(at => at > now - 1_000));
        return calls.length;
    };
    let bad = 0;
    const lostAt = [...fleet.leaderLostAt ?? []];

    const receive = (ingress: SimulatedIngress, now: number): void => {
        const share = rollout().state === "running" ? ingress.present(now).share : 0;
        const draw = random.next();
        const isCutOff = ingress === ingresses[0] && now >= (fleet.cutOffAt ?? Infinity);
        const isTarget = rollout().state === "completed" && !isCutOff || draw < share;
        ingress.results.recordAsked();
        if (fleet.refuses?.(isTarget, { now, random }) ?? false) {
            return;
        }
        if (isCutOff && !isTarget && !ingress.mayUseOld(now)) {
            result.refusedWithoutContact++;
            return;
        }
        if (now < limitMs) {
            result.arrived++;
        }
        ingress.results.recordSend(isTarget ? "v2" : "v1");
        const route = routes[random.nextInt(routes.length)] ?? "";
        const { failed, timeMs } = fleet.respond(isTarget, route, { now, share, random });
        if (isTarget) {
            result.exposed += now < limitMs ? 1 : 0;
            result.lastExposedAt = now;
        }
        else {
            ingress.runningAtOld++;
        }
        due.push({
            at: now + timeMs,
            run: at => {
                ingress.results.recordArrival();
                ingress.results.recordResponse(
                    isTarget ? "v2" : "v1",
                    route,
                    failed ? "failed" : "answered",
                    failed ? undefined : timeMs,
                );
                ingress.runningAtOld -= isTarget ? 0 : 1;
                if (isTarget && (failed || timeMs > 200) && ++bad === 50) {
                    result.fiftiethBadAt = at;
                }
            },
        });
    };

    const sync = (ingress: SimulatedIngress, now: number): void => {
        ingress.nextSyncAt = now >= ingress.nextSyncAt ? now + syncMs : ingress.nextSyncAt;
        // An ingress that takes a share calls again after the timeout of a call.
        ingress.renewAt = ingress.renewMs === undefined ? Infinity : now + callTimeoutMs;
        result.mostCalls = Math.max(result.mostCalls, countCall(now));
        const isCutOff = ingress === ingresses[0] && now >= (fleet.cutOffAt ?? Infinity);
        if (leader === undefined || isCutOff || (fleet.isLost?.(random) ?? false)) {
            return;
        }
        const { share, closed } = ingress.present(now);
        const report: RolloutReport = ingress.results.report(share, closed);
        result.largestReport = Math.max(result.largestReport, JSON.stringify(report).length);
        const running = { old: { running: ingress.runningAtOld } };
        due.push({
            at: now + 5 + (fleet.lateMs?.(random) ?? 0),
            run: at => {
                if (leader === undefined) {
                    return;
                }
                ingress.contactAt = at;
                leader.reports.record(ingress.name, ingress.name, report, running, at);
                ingress.results.acknowledge(report);
                if (rollout().state !== "running") {
                    ingress.validUntil = -Infinity;
                    ingress.renewAt = Infinity;
                }
                else if (handedOut.at > -Infinity) {
                    const { part, validMs, renewMs } = planShare(
                        handedOut.share,
                        count,
                        syncMs,
                        rolloutDefaults.rollbackMs,
                    );
                    ingress.share = shareOf(ingress.name, orderedAt, handedOut.share, part);
                    const renews = ingress.share > 0 || renewsAlways(rollout().step);
                    ingress.renewMs = renews ? renewMs : undefined;
                    ingress.renewAt = now + (ingress.renewMs ?? Infinity);
                    ingress.closed = handedOut.closed;
                    ingress.othersUntil = handedOut.closed ? -Infinity : handedOut.at + handedOut.othersMs;
                    ingress.validUntil = handedOut.at + (handedOut.closed ? rolloutDefaults.rollbackMs : validMs);
                }
            },
        });
    };

    const decide = (now: number): void => {
        if (leader === undefined || rollout().state !== "running") {
            return;
        }
        const isReady = now >= (fleet.readyAt ?? 2_000);
        const live = ingresses.filter(({ contactAt }) => contactAt > now - 2 * syncMs - 700).map(({ name }) => name);
        const decision = leader.judge.decide({
            now,
            elapsedMs: now,
            targetSlots: isReady ? targetSlots(now) : 0,
            otherSlots: 64,
            running: ingresses.reduce((sum, { runningAtOld }) => sum + runningAtOld, 0),
            settleMs: settleMs(rollout().step, syncMs, planShare(1, count, syncMs, rolloutDefaults.rollbackMs).renewMs),
            heard: leader.reports.heardFrom(live),
            lossMs,
            drained: leader.reports.drained(live, ["old"], now - lossMs),
        });
        const { share, closed, othersMs } = decision;
        handedOut = { share, closed, othersMs, at: now };
        const name = { type: "rollout-progress", service: "app", orderedAt, at: now } as const;
        if (decision.end !== undefined) {
            book = applyProgress(book, { ...name, change: { state: decision.end } });
            result.endedAt = now;
            if (decision.end === "completed") {
                result.strandedAtEnd = ingresses.reduce(
                    (sum, ingress) => sum + ingress.runningAtOld + (ingress.mayUseOld(now) ? 1 : 0),
                    0,
                );
            }
        }
        else if (decision.step !== undefined) {
            book = applyProgress(book, { ...name, change: { step: decision.step } });
            leader.judge.recordStep(decision.step, now);
        }
    };

    for (let now = 0; now < limitMs + 20_000; now += stepMs) {
        if (lostAt[0] !== undefined && now >= lostAt[0]) {
            lostAt.shift();
            leader = undefined;
            handedOut = { share: 0, closed: false, othersMs: 0, at: -Infinity };
            due.push({ at: now + 1_200, run: at => leader = lead(at) });
        }
        const rate = (fleet.requestsPerSecond?.(now) ?? 200) * stepMs / 1_000;
        for (let i = Math.floor(rate) + (random.next() < rate % 1 ? 1 : 0); i > 0; i--) {
            receive(ingresses[random.nextInt(count)] as SimulatedIngress, now);
        }
        due.splice(0).forEach(item => item.at <= now ? item.run(now) : due.push(item));
        ingresses.filter(({ nextSyncAt, renewAt }) => Math.min(nextSyncAt, renewAt) <= now).forEach(ingress =>
            sync(ingress, now)
        );
        if (now % tickMs === 0) {
            decide(now);
        }
    }
    return { ...result, rollout: rollout() };
}
