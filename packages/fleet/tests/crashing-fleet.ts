import { CrashJudge, PromptCrashes, requestKey, syncIntervalMs } from "@lentilramp/fleet";
import { SeededRandom } from "@lentilramp/runtime";

const stepMs = 10;
const restartMs = 3_000;
/** Time from the sending of a request until its first token, in milliseconds. */
const firstTokenMs = 120;
const documents = 60;

export interface CrashingFleetOptions {
    ingresses: number;
    seed: number;
    /** Parts that crash engines, from two seconds on. */
    deadlyParts: readonly string[];
    /** Crashes a second that have nothing to do with prompts; each takes a tenth of the engines. */
    unrelatedPerSecond?: number;
    endpoints?: number;
    /** Whether all ingresses restart one after the other from six seconds on, and another leader takes over. */
    restarts?: boolean;
    lastMs?: number;
}

export interface CrashingFleetResult {
    blocked: ReadonlySet<string>;
    /** Number of requests with a deadly part sent later than the contact bound after its fifth crash, by part. */
    sentAfterBound: Record<string, number>;
    /** Number of requests without a deadly part that were refused. */
    falselyRefused: number;
    soundServed: number;
}

interface Sent {
    at: number;
    endpoint: number;
    request: string;
    parts: string[];
    ingress: number;
}

/**
 * Plays a fleet whose ingresses see the crashes of engines each for its own requests, report to a leader with the syncs
 * of the product, and obey its verdicts. Sound requests share their first part and their documents with deadly ones.
 */
export function playCrashingFleet(options: CrashingFleetOptions): CrashingFleetResult {
    const { ingresses, seed, deadlyParts, unrelatedPerSecond = 0, endpoints = 24, lastMs = 16_000 } = options;
    const random = new SeededRandom(seed);
    const contactMs = 3_000;
    const intervalMs = syncIntervalMs(ingresses);
    const settleMs = intervalMs * 1.25 + 200;
    let judge = new CrashJudge();
    let leader = 1;
    let blocked: { part: string; endpoints: string[]; }[] = [];
    const views = Array.from({ length: ingresses }, () => new PromptCrashes());
    const nextSyncAt = views.map(() => random.next() * intervalMs);
    const downUntil = new Array<number>(endpoints).fill(0);
    const lifetimes = new Array<number>(endpoints).fill(0);
    const crashesOf: Record<string, number[]> = {};
    const result: CrashingFleetResult = { blocked: new Set(), sentAfterBound: {}, falselyRefused: 0, soundServed: 0 };
    let inFlight: Sent[] = [];
    let sentCount = 0;

    const crash = (endpoint: number, now: number): void => {
        for (const { endpoint: at, ingress, request, parts } of inFlight) {
            if (at === endpoint) {
                const lifetime = { id: `e${endpoint}`, startedAt: lifetimes[endpoint] };
                views[ingress]?.recordCrash(lifetime, { request, parts }, now);
            }
        }
        inFlight = inFlight.filter(sent => sent.endpoint !== endpoint);
        downUntil[endpoint] = now + restartMs;
        lifetimes[endpoint] = now;
    };
    const send = (parts: string[], now: number): void => {
        const ingress = random.nextInt(ingresses);
        const deadly = parts.find(part => deadlyParts.includes(part));
        const up = downUntil.flatMap((until, i) => until <= now ? [i] : []);
        const endpoint = up[random.nextInt(up.length)];
        if (endpoint === undefined) {
            return;
        }
        if (views[ingress]?.blockingPart(parts) !== undefined) {
            result.falselyRefused += deadly === undefined ? 1 : 0;
            return;
        }
        const fifth = deadly === undefined ? undefined : crashesOf[deadly]?.[4];
        if (deadly !== undefined && fifth !== undefined && now > fifth + contactMs) {
            result.sentAfterBound[deadly] = (result.sentAfterBound[deadly] ?? 0) + 1;
        }
        inFlight.push({ at: now, endpoint, request: requestKey(String(sentCount++)), parts, ingress });
    };
    const sync = (ingress: number, now: number): void => {
        const view = views[ingress] as PromptCrashes;
        const reports = view.crashReports(now);
        reports.forEach(report => judge.recordReport(report, now));
        Object.entries(view.begunReports(now)).forEach(([part, ageMs]) => judge.recordBegun(part, now - ageMs));
        view.acknowledge(String(leader), reports, now);
        view.applyBlocked(blocked);
        const hasNew = view.applySuspects(judge.suspects(now));
        nextSyncAt[ingress] = now + (hasNew ? intervalMs / 4 : intervalMs);
    };

    for (let now = 0; now < lastMs; now += stepMs) {
        if (options.restarts === true && now >= 6_000 && (now - 6_000) % 100 === 0) {
            const ingress = (now - 6_000) / 100;
            if (ingress < ingresses) {
                views[ingress] = new PromptCrashes();
                nextSyncAt[ingress] = now;
            }
        }
        if (options.restarts === true && now === 7_000) {
            judge = new CrashJudge();
            leader++;
        }
        const document = `d${random.nextInt(documents)}`;
        send(["system", document], now);
        send(["system", document], now);
        if (now >= 2_000 && random.next() < 0.04) {
            const deadly = deadlyParts[random.nextInt(deadlyParts.length)];
            if (deadly !== undefined) {
                send(["system", document, deadly], now);
            }
        }
        if (random.next() < unrelatedPerSecond * stepMs / 1_000) {
            for (let i = 0; i < endpoints / 10; i++) {
                crash(random.nextInt(endpoints), now);
            }
        }
        for (const sent of inFlight.filter(({ at }) => at <= now - firstTokenMs)) {
            if (!inFlight.includes(sent)) {
                continue;
            }
            const deadly = sent.parts.find(part => deadlyParts.includes(part));
            if (deadly !== undefined) {
                (crashesOf[deadly] ??= []).push(now);
                crash(sent.endpoint, now);
            }
            else {
                views[sent.ingress]?.recordBegun(sent.parts, now);
                result.soundServed++;
                inFlight = inFlight.filter(other => other !== sent);
            }
        }
        nextSyncAt.forEach((at, ingress) => {
            if (at <= now) {
                sync(ingress, now);
            }
        });
        const known = new Set(blocked.map(({ part }) => part));
        blocked = [...blocked, ...judge.verdicts(now, settleMs, known)];
    }
    return { ...result, blocked: new Set(blocked.map(({ part }) => part)) };
}
