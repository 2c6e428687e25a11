import {
    CrashJudge,
    type CrashReport,
    earlySyncIntervalMs,
    isRequestKey,
    PromptCrashes,
    requestKey,
    syncIntervalMs,
} from "@lentilramp/fleet";
import { SeededRandom } from "@lentilramp/runtime";
import type { RepeatingFleetOptions, RepeatingFleetResult } from "./repeating-fleet-options.ts";

const stepMs = 5;
/** Time within which all ingresses in touch must know a verdict, in milliseconds. */
const contactMs = 3_000;
const checkIntervalMs = 100;
/** Time in which the agreement log commits a verdict, in milliseconds. */
const commitMs = 30;
const syncTimeoutMs = 600;
const failurePauseMs = 50;
const begunAfterMs = 100;
const maxAttempts = 3;
const withheldRetryMs = 500;

interface Request {
    service: string;
    key: string;
    parts: readonly string[];
    repeatable: boolean;
    /** Index of the deadly request, if it is one. */
    deadly?: number;
    deadlyPart?: string;
    /** Whether many callers send it. */
    shared?: boolean;
    losses: number;
    withheldAt?: number;
}

interface Endpoint {
    id: string;
    service: string;
    domain: number;
    startedAt: number;
    upAt: number;
    inFlight: Set<Sent>;
}

interface Sent {
    req: Request;
    ingress: Ingress;
    attempt: number;
}

interface Ingress {
    view: PromptCrashes;
    syncing: boolean;
    lastSentAt: number;
    early: boolean;
    nextSyncAt: number;
    restarted: number;
    /** Whether it takes requests: a restarted one does from the first answer of the leader. */
    ready: boolean;
}

/**
 * Plays a fleet that learns which requests crash endpoints. Ingresses repeat lost requests at once, callers after some
 * time at any ingress; crashes are noticed after a probe; syncs take time and are lost now and then.
 */
export class RepeatingFleet {
    private readonly random: SeededRandom;
    private readonly agenda: (() => void)[][] = [];
    private now = 0;
    private readonly endpoints: Endpoint[] = [];
    private readonly ingresses: Ingress[];
    private readonly lastMs: number;
    private readonly intervalMs: number;
    private judge = new CrashJudge();
    private leader = 1;
    private leaderFrom = 0;
    private blocked: { part: string; at: number; }[] = [];
    private readonly proposed = new Set<string>();
    private readonly crashesOf = new Map<string, number[]>();
    private readonly sendsOf = new Map<string, number[]>();
    private requestCount = 0;
    private readonly result = {
        refusedSound: 0,
        withheldSound: 0,
        longestWithheldMs: 0,
        unrepeatedSound: 0,
        mostLosses: 0,
        served: 0,
        lost: 0,
    };

    constructor(private readonly options: RepeatingFleetOptions) {
        const { ingresses, seed, engines = 24, lastMs = 20_000 } = options;
        this.random = new SeededRandom(seed);
        this.lastMs = lastMs;
        this.intervalMs = syncIntervalMs(ingresses);
        for (let i = 0; i < engines + 3; i++) {
            this.endpoints.push({
                id: `e${i}`,
                service: i < engines ? "model" : "plain",
                domain: i % 3,
                startedAt: 0,
                upAt: 0,
                inFlight: new Set(),
            });
        }
        this.ingresses = Array.from({ length: ingresses }, () => ({
            view: new PromptCrashes(),
            syncing: false,
            lastSentAt: -Infinity,
            early: false,
            nextSyncAt: this.random.next() * this.intervalMs,
            restarted: 0,
            ready: true,
        }));
    }

    play(): RepeatingFleetResult {
        this.planTraffic();
        this.planFaults();
        for (this.now = 0; this.now < this.lastMs; this.now += stepMs) {
            // A callback may add others to the same step.
            const due = this.agenda[this.now / stepMs] ?? [];
            for (let i = 0; i < due.length; i++) {
                due[i]?.();
            }
            this.ingresses.filter(ingress => !ingress.syncing && ingress.nextSyncAt <= this.now)
                .forEach(ingress => this.startSync(ingress));
            if (this.now % checkIntervalMs === 0 && this.now >= this.leaderFrom) {
                this.decide();
            }
        }
        return this.summarize();
    }

    private at(time: number, callback: () => void): void {
        const step = Math.max(this.now, Math.ceil(time / stepMs) * stepMs) / stepMs;
        (this.agenda[step] ??= []).push(callback);
    }

    private planTraffic(): void {
        const { deadly, deadlyParts = [], sharedDeadlyFrom = Infinity } = this.options;
        for (let at = 0; at < this.lastMs; at += 10) {
            this.at(at, () => {
                const document = `d${this.random.nextInt(60)}`;
                this.arrive(this.createRequest("model", ["system", document]));
                const isShared = this.random.next() < 0.5;
                this.arrive({
                    ...this.createRequest("plain", []),
                    ...isShared ? { key: requestKey("shared"), shared: true } : {},
                    ...isShared && at >= sharedDeadlyFrom ? { deadly: -1 } : {},
                });
            });
        }
        deadly.forEach(({ service, parts, copies, everyMs, repeatable }, index) => {
            for (let at = 2_000; at < this.lastMs; at += everyMs * (0.5 + this.random.next() * 0.5)) {
                for (let copy = 0; copy < copies; copy++) {
                    this.at(at + this.random.next() * 100, () =>
                        this.arrive({
                            service,
                            key: requestKey(`deadly-${index}`),
                            parts,
                            repeatable,
                            deadly: index,
                            losses: 0,
                        }));
                }
            }
        });
        for (const deadlyPart of deadlyParts) {
            for (let at = 2_000; at < this.lastMs; at += 1_000 * this.random.next()) {
                this.at(at, () => {
                    const parts = ["system", `d${this.random.nextInt(60)}`, deadlyPart];
                    this.arrive({ ...this.createRequest("model", parts), deadlyPart });
                });
            }
        }
    }

    private planFaults(): void {
        const { outages = [], blackouts = [], restarts = false, ingresses } = this.options;
        const plain = this.endpoints.filter(({ service }) => service === "plain");
        blackouts.forEach(at =>
            this.at(at, () => plain.filter(({ upAt }) => upAt <= this.now).forEach(endpoint => this.crash(endpoint)))
        );
        outages.forEach((at, i) => this.at(at, () => this.crashDomain(i % 3)));
        if (!restarts) {
            return;
        }
        for (let i = 0; i < ingresses; i++) {
            this.at(6_000 + i * Math.max(100, 6_000 / ingresses), () => this.restart(this.ingresses[i] as Ingress));
        }
        this.at(7_000, () => {
            this.judge = new CrashJudge();
            this.leader++;
            this.leaderFrom = this.now + 700;
        });
    }

    private createRequest(service: string, parts: readonly string[]): Request {
        return {
            service,
            key: requestKey(`r${this.requestCount++}`),
            parts,
            repeatable: this.random.next() < 0.7,
            losses: 0,
        };
    }

    private restart(ingress: Ingress): void {
        ingress.view = new PromptCrashes();
        ingress.restarted++;
        ingress.ready = false;
        ingress.syncing = false;
        ingress.nextSyncAt = this.now + 300;
    }

    /** A request arrives at any ingress. */
    private arrive(req: Request): void {
        const ready = this.ingresses.filter(ingress => ingress.ready);
        const ingress = ready[this.random.nextInt(ready.length)];
        if (ingress !== undefined) {
            this.send(req, ingress, 1);
        }
    }

    private isSound({ deadly, deadlyPart }: Request): boolean {
        return deadly === undefined && deadlyPart === undefined;
    }

    private send(req: Request, ingress: Ingress, attempt: number): void {
        const { view } = ingress;
        const keys = [...req.parts, req.key];
        if (view.blockingPart(keys) !== undefined) {
            this.result.refusedSound += this.isSound(req) ? 1 : 0;
            return;
        }
        if (view.withheld(keys, this.now) !== undefined) {
            if (this.isSound(req)) {
                this.result.withheldSound += req.withheldAt === undefined ? 1 : 0;
                req.withheldAt ??= this.now;
                this.at(this.now + withheldRetryMs, () => this.arrive(req));
            }
            return;
        }
        const up = this.endpoints.filter(({ service, upAt }) => service === req.service && upAt <= this.now);
        const endpoint = up[this.random.nextInt(up.length)];
        if (endpoint === undefined) {
            this.comeAgain(req);
            return;
        }
        this.noteWithheld(req);
        const names = this.isSound(req) ? [] : [req.key, req.deadlyPart ?? req.key];
        for (const name of new Set(names)) {
            this.sendsOf.set(name, [...this.sendsOf.get(name) ?? [], this.now]);
        }
        const sent = { req, ingress, attempt };
        endpoint.inFlight.add(sent);
        const firstTokenMs = req.service === "model" ? 120 : 20 + this.random.next() * 80;
        const { startedAt } = endpoint;
        this.at(this.now + firstTokenMs, () => {
            if (endpoint.startedAt === startedAt && endpoint.inFlight.has(sent) && names.length > 0) {
                new Set(names).forEach(name => this.crashesOf.set(name, [...this.crashesOf.get(name) ?? [], this.now]));
                this.crash(endpoint);
            }
        });
        this.at(this.now + firstTokenMs + (req.service === "model" ? begunAfterMs : 0), () => {
            if (endpoint.inFlight.delete(sent)) {
                view.recordBegun(keys, this.now);
                this.result.served++;
            }
        });
    }

    private noteWithheld(req: Request): void {
        if (req.withheldAt !== undefined) {
            this.result.longestWithheldMs = Math.max(this.result.longestWithheldMs, this.now - req.withheldAt);
            req.withheldAt = undefined;
        }
    }

    private comeAgain(req: Request): void {
        if (this.isSound(req) && req.shared !== true) {
            this.at(this.now + 100 + this.random.next() * 900, () => this.arrive(req));
        }
    }

    private crashDomain(domain: number): void {
        this.endpoints.filter(endpoint => endpoint.domain === domain && endpoint.upAt <= this.now)
            .forEach(endpoint => this.crash(endpoint));
    }

    private crash(endpoint: Endpoint): void {
        const lifetime = { id: endpoint.id, startedAt: endpoint.startedAt };
        const lost = [...endpoint.inFlight];
        endpoint.inFlight.clear();
        endpoint.startedAt = this.now;
        endpoint.upAt = this.now + 1_000 + this.random.next() * 3_000;
        for (const { req, ingress, attempt } of lost) {
            const [{ view, restarted }, crashedAt] = [ingress, this.now];
            req.losses++;
            this.result.lost++;
            if (this.isSound(req) && req.shared !== true) {
                this.result.mostLosses = Math.max(this.result.mostLosses, req.losses);
            }
            // A host that is gone does not refuse connections, so that the probe has to time out.
            const probeMs = this.random.next() < 0.1 ? 300 : 5;
            const endLoss = view.recordLoss(lifetime, req.key, crashedAt);
            this.at(this.now + probeMs, () => {
                endLoss();
                if (ingress.restarted === restarted) {
                    view.recordCrash(lifetime, { request: req.key, parts: req.parts }, crashedAt);
                    this.requestSync(ingress);
                }
            });
            const mayRepeat = view.mayRepeat([...req.parts, req.key], crashedAt);
            if (req.repeatable && attempt < maxAttempts && mayRepeat) {
                this.at(this.now + stepMs, () => this.send(req, ingress, attempt + 1));
            }
            else {
                this.result.unrepeatedSound += this.isSound(req) && req.repeatable && !mayRepeat ? 1 : 0;
                this.comeAgain(req);
            }
        }
    }

    private requestSync(ingress: Ingress): void {
        ingress.early = true;
        ingress.nextSyncAt = Math.min(
            ingress.nextSyncAt,
            ingress.lastSentAt + earlySyncIntervalMs(this.ingresses.length),
        );
    }

    private startSync(ingress: Ingress): void {
        const { view, restarted } = ingress;
        ingress.syncing = true;
        ingress.lastSentAt = this.now;
        ingress.early = false;
        const sentAt = this.now;
        const reports = view.crashReports(sentAt);
        const begun = view.begunReports(sentAt);
        const { lostSyncs = 0.01 } = this.options;
        const [lostRequest, lostAnswer] = [this.random.next() < lostSyncs / 2, this.random.next() < lostSyncs / 2];
        let answered = false;
        const isCurrent = (): boolean => ingress.restarted === restarted && !answered;
        this.at(this.now + syncTimeoutMs, () => {
            if (isCurrent()) {
                this.endSync(ingress, failurePauseMs);
            }
        });
        this.at(this.now + 2 + this.random.next() * 18, () => {
            if (lostRequest || this.now < this.leaderFrom) {
                return;
            }
            const known = new Set(this.blocked.map(({ part }) => part));
            reports.forEach(report => this.judge.recordReport(report, this.now));
            Object.entries(begun).forEach(([key, ageMs]) => this.judge.recordBegun(key, this.now - ageMs));
            const answer = {
                leader: this.leader,
                suspects: this.judge.suspects(this.now, known),
                blocked: this.blocked,
            };
            this.at(this.now + 2 + this.random.next() * 18, () => {
                if (!lostAnswer && isCurrent()) {
                    answered = true;
                    this.applyAnswer(ingress, reports, answer);
                }
            });
        });
    }

    private applyAnswer(
        ingress: Ingress,
        reports: CrashReport[],
        answer: { leader: number; suspects: Record<string, number>; blocked: { part: string; }[]; },
    ): void {
        const { view } = ingress;
        ingress.ready = true;
        const isNew = view.acknowledge(String(answer.leader), reports, this.now);
        view.applyBlocked(answer.blocked);
        const hasNew = view.applySuspects(answer.suspects);
        ingress.early ||= isNew || hasNew;
        this.endSync(ingress, 0);
    }

    private endSync(ingress: Ingress, pauseMs: number): void {
        ingress.syncing = false;
        const intervalMs = ingress.early ? earlySyncIntervalMs(this.ingresses.length) : this.intervalMs;
        ingress.nextSyncAt = pauseMs > 0 ? this.now + pauseMs : Math.max(this.now, ingress.lastSentAt + intervalMs);
    }

    private decide(): void {
        const known = new Set(this.blocked.map(({ part }) => part));
        const settleMs = this.intervalMs * 1.25 + 200;
        for (const { part } of this.judge.verdicts(this.now, settleMs, known)) {
            if (!this.proposed.has(part)) {
                this.proposed.add(part);
                this.at(this.now + commitMs, () => {
                    this.blocked = [...this.blocked, { part, at: this.now }];
                });
            }
        }
    }

    private summarize(): RepeatingFleetResult {
        const { deadly, deadlyParts = [] } = this.options;
        const sentAfter = (key: string, crash: number): number => {
            const at = this.crashesOf.get(key)?.[crash - 1] ?? Infinity;
            return (this.sendsOf.get(key) ?? []).filter(sentAt => sentAt > at + contactMs).length;
        };
        const blocked = this.blocked.map(({ part }) => part);
        return {
            ...this.result,
            deadly: deadly.map((...[, i]) => {
                const key = requestKey(`deadly-${i}`);
                const crashes = this.crashesOf.get(key) ?? [];
                const blockedAt = this.blocked.find(({ part }) => part === key)?.at;
                return {
                    crashes: crashes.length,
                    crashesAfterThird: Math.max(0, crashes.length - 3),
                    sentAfterBound: sentAfter(key, 3),
                    blockedAfterMs: blockedAt === undefined ? undefined : blockedAt - (crashes[2] ?? NaN),
                };
            }),
            partSentAfterBound: Object.fromEntries(deadlyParts.map(part => [part, sentAfter(part, 5)])),
            sharedCrashes: this.crashesOf.get(requestKey("shared"))?.length ?? 0,
            sharedBlockedAt: this.blocked.find(({ part }) => part === requestKey("shared"))?.at,
            blockedParts: blocked.filter(key => !isRequestKey(key)),
            blockedSound: blocked.filter(key =>
                isRequestKey(key) && !this.crashesOf.has(key) && !key.includes("deadly-")
            ),
        };
    }
}
