import {
    capReleaseDelayMs,
    earlySyncIntervalMs,
    LimitAllocator,
    LimitPermits,
    type PermitDemand,
    syncIntervalMs,
} from "@lentilramp/fleet";
import { SeededRandom } from "@lentilramp/runtime";

/** Steps of the simulation, one-way delay between processes, and time until an endpoint answers, in milliseconds. */
const stepMs = 5;
const messageDelayMs = 10;
const answerDelayMs = 40;
const syncTimeoutMs = 600;
const permitWaitMs = 400;
const toldMs = 500;
const service = "app";

interface Ingress {
    name: string;
    permits: LimitPermits;
    running: boolean;
    /** Whether the ingress reaches the leader. */
    inContact: boolean;
    lastSyncAt: number;
    nextSyncAt: number;
    syncing: boolean;
    waiting: number[];
    contactAt: number;
    /** Instant of the first answer with a limit to this ingress. */
    toldAt: number;
}

/** Simulates ingresses that send to one endpoint with a limit, and the leader that grants permits. */
export class LimitedFleet {
    now = 0;
    readonly arrivals: number[] = [];
    /** The arrivals from ingresses that had passed on an answer with a limit half a second before. */
    readonly toldArrivals: number[] = [];
    refused = 0;
    /** Value that answers of the endpoint name; undefined for none. */
    limit: number | undefined;
    endpoint: { id: string; service: string; startedAt?: number; } = { id: "e", service, startedAt: 1 };
    leader: LimitAllocator | undefined = new LimitAllocator();
    readonly ingresses: Ingress[];
    private readonly random: SeededRandom;
    private readonly messages: { at: number; deliver: () => void; }[] = [];

    constructor(readonly count: number, seed: number, private readonly perSecond: number) {
        this.random = new SeededRandom(seed);
        this.ingresses = Array.from({ length: count }, (...[, i]) => this.createIngress(i));
    }

    /** Replaces an ingress by a new run of its process. */
    restart(index: number): void {
        this.ingresses[index] = this.createIngress(index);
    }

    /** Runs until the instant `until`; callers send to the running ingresses at random. */
    run(until: number): void {
        for (; this.now < until; this.now += stepMs) {
            const due = this.messages.filter(({ at }) => at <= this.now);
            this.messages.splice(0, this.messages.length, ...this.messages.filter(({ at }) => at > this.now));
            due.forEach(({ deliver }) => deliver());
            const running = this.ingresses.filter(ingress => ingress.running);
            for (const ingress of running) {
                if (!ingress.syncing && this.now >= ingress.nextSyncAt) {
                    this.sync(ingress);
                }
                ingress.waiting = ingress.waiting.filter(arrivedAt => this.decide(ingress, arrivedAt));
            }
            for (let load = this.perSecond * stepMs / 1_000; load > 0; load--) {
                const ingress = running[this.random.nextInt(running.length)];
                if (ingress !== undefined && this.random.next() < load) {
                    ingress.permits.recordRequest(service);
                    if (this.decide(ingress, this.now)) {
                        ingress.waiting.push(this.now);
                    }
                }
            }
        }
    }

    /** Largest number of the given arrivals in a window of 4 s that ends between two instants. */
    mostInWindow(from: number, until: number, arrivals: readonly number[] = this.arrivals): number {
        const counted = arrivals.filter(at => at >= from);
        return Math.max(
            0,
            ...counted.filter(at => at <= until).map(end => counted.filter(at => at > end - 4_000 && at <= end).length),
        );
    }

    /** Arrivals between two instants relative to what a limit allows in that time. */
    usedShare(perSecond: number, from: number, until: number): number {
        return this.arrivals.filter(at => at >= from && at < until).length / (perSecond * (until - from) / 1_000);
    }

    private createIngress(index: number): Ingress {
        const ingress: Ingress = {
            name: `front-${index}`,
            permits: new LimitPermits(
                () => ({ members: this.count, position: index, fleetTimeMs: this.now }),
                () => {
                    const earliest = ingress.lastSyncAt + earlySyncIntervalMs(this.count);
                    ingress.nextSyncAt = Math.min(ingress.nextSyncAt, earliest);
                },
            ),
            running: true,
            inContact: true,
            lastSyncAt: -Infinity,
            nextSyncAt: this.now + this.random.next() * syncIntervalMs(this.count),
            syncing: false,
            waiting: [],
            contactAt: this.now,
            toldAt: Infinity,
        };
        return ingress;
    }

    /** Sends or refuses a request; returns whether it waits. */
    private decide(ingress: Ingress, arrivedAt: number): boolean {
        const { permits } = ingress;
        if (permits.maySend(this.endpoint.id, this.now)) {
            permits.recordSend(this.endpoint.id, this.now);
            this.send(ingress);
            return false;
        }
        if (this.now < arrivedAt + permitWaitMs && permits.shouldWait([this.endpoint], arrivedAt, this.now)) {
            return true;
        }
        this.refused++;
        return false;
    }

    private send(ingress: Ingress): void {
        const sentAt = this.now;
        const { endpoint } = this;
        this.arrivals.push(sentAt);
        if (sentAt >= ingress.toldAt + toldMs) {
            this.toldArrivals.push(sentAt);
        }
        this.after(answerDelayMs / 2, () => {
            const { limit } = this;
            this.after(answerDelayMs / 2, () => {
                if (ingress.running) {
                    ingress.toldAt = limit === undefined ? ingress.toldAt : Math.min(ingress.toldAt, this.now);
                    ingress.permits.recordAnswer(endpoint, limit, sentAt, this.now);
                }
            });
        });
    }

    private sync(ingress: Ingress): void {
        const sentAt = this.now;
        const limits = ingress.permits.heardReports(sentAt);
        const demand = ingress.permits.takeDemand([this.endpoint], () => ingress.waiting.length, sentAt);
        ingress.lastSyncAt = sentAt;
        ingress.nextSyncAt = Infinity;
        ingress.syncing = true;
        const { leader } = this;
        const finish = (answered: boolean): void => {
            ingress.syncing = false;
            ingress.nextSyncAt = Math.min(ingress.nextSyncAt, this.now + (answered ? syncIntervalMs(this.count) : 50));
        };
        if (leader === undefined || !ingress.inContact) {
            this.after(syncTimeoutMs, () => finish(false));
            return;
        }
        this.after(messageDelayMs, () => {
            const answer = this.answer(leader, ingress, limits, demand);
            this.after(messageDelayMs, () => {
                if (ingress.running) {
                    ingress.permits.applyAnswer(answer, demand, sentAt);
                }
                finish(true);
            });
        });
    }

    private answer(
        leader: LimitAllocator,
        ingress: Ingress,
        limits: ReturnType<LimitPermits["heardReports"]>,
        demand: Record<string, PermitDemand>,
    ): Parameters<LimitPermits["applyAnswer"]>[0] {
        ingress.contactAt = this.now;
        leader.statements.mergeReports(limits, this.now);
        const silent =
            this.ingresses.filter(({ contactAt }) => this.now - contactAt > capReleaseDelayMs(this.count)).length;
        const permits = Object.entries(demand).map(([id, entry]) =>
            [id, leader.grant(id, entry, { members: this.count, silent }, this.now)] as const
        );
        return { limits: leader.statements.reports(this.now), permits: Object.fromEntries(permits) };
    }

    private after(ms: number, deliver: () => void): void {
        this.messages.push({ at: this.now + ms, deliver });
    }
}
