import { type DispatchRequest, WaitQueue } from "@lentilramp/dispatch";
import { type SyncRequest, syncRequestSchema } from "@lentilramp/exchange";
import {
    type AdmissionLevels,
    admittedShare,
    drawPosition,
    RetrySpread,
    RoomLedger,
    type ServiceCapacity,
} from "@lentilramp/room";
import { MemoryEventLog, SeededRandom } from "@lentilramp/runtime";
import { FleetRoom } from "@lentilramp/steward";

/** Requests of one kind and workspace. */
export interface Source {
    name: string;
    workspace: string;
    rank: number;
    /** Offered work at `now`, as a part of the capacity of all endpoints. */
    load: (now: number) => number;
    /** Times that a refused caller sends its request again at once; others come back once, when they were told to. */
    retriesAtOnce?: number;
}

export interface SourceResult {
    /** Requests, without their retries. */
    requests: number;
    served: number;
    /** Attempts that the admission level refused, and the attempts that were late in the queue. */
    refused: number;
    late: number;
    /** Requests by size class, from the smallest tenth on, and by whether they have the shared prompt part. */
    sizes: { requests: number; served: number; }[];
    shared: { requests: number; served: number; };
}

interface Request {
    source: Source;
    result: SourceResult;
    slotMs: number;
    size: number;
    isShared: boolean;
    attemptsLeft: number;
    targetAt: number;
}

interface Waiting {
    request: Request;
    ingress: Ingress;
    req: DispatchRequest;
}

interface Ingress {
    name: string;
    ledger: RoomLedger;
    levels: AdmissionLevels;
    validUntil: number;
    nextSyncAt: number;
    reportsRoom: boolean;
    demandMs: number;
    answeredAt: number;
}

const service = "s";
const stepMs = 5;
const intervalMs = 250;
const meanSlotMs = 400;
/** Time for which a request waits for a slot. */
const waitMs = 300;
const sizeClasses = 10;

/**
 * A fleet without a network: ingresses with the ledger, the draw and the retry delays of the product, the leader's
 * decisions, and endpoints that serve what is admitted in the order of rank.
 */
export class RoomFleet {
    readonly results = new Map<string, SourceResult>();
    readonly log = new MemoryEventLog();
    /** Refusals by level while under half of the slots were taken and nothing waited. */
    needlessRefusals = 0;
    /** Slot time that was used, in milliseconds. */
    usedMs = 0;
    now = 0;
    slots: number;
    /** Part by which actual slot times differ from expected ones. */
    slotFactor = 1;
    room = new FleetRoom(this.log);
    private readonly random: SeededRandom;
    private readonly ingresses: Ingress[];
    private readonly spread: RetrySpread;
    private running: { request: Request; endsAt: number; ingress: Ingress; startedAt: number; }[] = [];
    private readonly queue = new WaitQueue<Waiting>(() => true);
    private later: { at: number; action: () => void; }[] = [];
    private sequence = 0;

    constructor(
        private readonly sources: readonly Source[],
        private readonly options: {
            seed: number;
            slots?: number;
            ingresses?: number;
            /** Ingresses of an earlier software version, which report only their demand and obey no level. */
            earlierVersion?: number;
            /** Decides on a sync of an ingress: the time until the leader has it, or that it is lost. */
            deliver?: (ingress: number, now: number) => number | "lost";
        },
    ) {
        this.random = new SeededRandom(options.seed);
        this.slots = options.slots ?? 200;
        this.spread = new RetrySpread(this.random);
        const count = options.ingresses ?? 12;
        this.ingresses = [...Array(count).keys()].map(i => ({
            name: `i${i}`,
            ledger: new RoomLedger(0, () => true),
            levels: {},
            validUntil: 0,
            nextSyncAt: i * intervalMs / count,
            reportsRoom: i >= (options.earlierVersion ?? 0),
            demandMs: 0,
            answeredAt: 0,
        }));
        this.resetResults();
    }

    /** Whether any ingress has a level in force. */
    get hasLevel(): boolean {
        return this.ingresses.some(({ levels, validUntil }) => this.now < validUntil && service in levels);
    }

    result(name: string): SourceResult {
        return this.results.get(name) as SourceResult;
    }

    /** Part of the requests of a source that an endpoint got. */
    served(name: string): number {
        const { requests, served } = this.result(name);
        return served / requests;
    }

    /** Starts to count anew; requests that have arrived are no longer counted. */
    resetResults(): this {
        this.sources.forEach(({ name }) => this.results.set(name, emptyResult()));
        this.usedMs = 0;
        return this;
    }

    run(forMs: number): this {
        for (const until = this.now + forMs; this.now < until;) {
            this.now += stepMs;
            this.usedMs += this.running.length * stepMs;
            this.endAnswers();
            this.startWaiting();
            const due = this.later.filter(({ at }) => at <= this.now);
            this.later = this.later.filter(({ at }) => at > this.now);
            due.forEach(({ action }) => action());
            this.sources.forEach(source => this.arrive(source));
            this.ingresses.forEach((ingress, i) => this.syncIfDue(ingress, i));
        }
        return this;
    }

    private arrive(source: Source): void {
        const result = this.result(source.name);
        let expected = source.load(this.now) * this.slots0 * stepMs / meanSlotMs;
        while (expected > 0) {
            if (this.random.next() < expected) {
                const size = this.random.nextInt(sizeClasses);
                const isShared = this.random.next() < 1 / 3;
                result.requests++;
                sizeOf(result, size).requests++;
                result.shared.requests += isShared ? 1 : 0;
                this.attempt({
                    source,
                    result,
                    // The largest tenth takes ten times as long as the smallest one.
                    slotMs: meanSlotMs * (size + 1) / 5.5,
                    size,
                    isShared,
                    attemptsLeft: source.retriesAtOnce ?? 1,
                    targetAt: this.now + waitMs,
                });
            }
            expected--;
        }
    }

    /** Slots at the start, which the load of the sources is relative to. */
    private get slots0(): number {
        return this.options.slots ?? 200;
    }

    private attempt(request: Request): void {
        const { source } = request;
        const ingress = this.ingresses[this.random.nextInt(this.ingresses.length)] as Ingress;
        const owner = { service, rank: source.rank, workspace: source.workspace };
        ingress.ledger.recordArrival(owner, { slotMs: request.slotMs, promptTokens: 0 });
        ingress.demandMs += request.slotMs;
        const level = ingress.reportsRoom && this.now < ingress.validUntil ? ingress.levels[service] : undefined;
        const isHalfTaken = this.running.length > this.slots / 2;
        const id = `r${this.sequence++}`;
        if (
            level !== undefined && isHalfTaken
            && drawPosition(id, this.random) >= admittedShare(level, source.rank, source.workspace)
        ) {
            request.result.refused++;
            this.needlessRefusals += this.running.length < this.slots / 2 && this.queue.size === 0 ? 1 : 0;
            this.retry(request, source.retriesAtOnce === undefined ? this.spread.nextDelayMs(level.clearMs) : stepMs);
            return;
        }
        const { rank, workspace } = source;
        const { targetAt } = request;
        const req = {
            id,
            service,
            workspace,
            rank,
            arrivedAt: this.now,
            targetAt,
            deadline: targetAt,
            work: undefined,
        };
        this.queue.push({ request, ingress, req });
        this.startWaiting();
    }

    private retry(request: Request, delayMs: number): void {
        if (request.attemptsLeft > 0) {
            request.attemptsLeft--;
            request.targetAt = this.now + delayMs + waitMs;
            this.later.push({ at: this.now + delayMs, action: () => this.attempt(request) });
        }
    }

    private startWaiting(): void {
        while (this.running.length < this.slots) {
            const [next] = this.queue.inOrder();
            if (next === undefined) {
                break;
            }
            this.queue.remove(next, true);
            const { request, ingress } = next;
            request.result.served++;
            sizeOf(request.result, request.size).served++;
            request.result.shared.served += request.isShared ? 1 : 0;
            const endsAt = this.now + request.slotMs * this.slotFactor;
            this.running.push({ request, ingress, endsAt, startedAt: this.now });
        }
        for (const waiting of this.queue.inOrder()) {
            const { request } = waiting;
            if (request.targetAt <= this.now) {
                this.queue.remove(waiting);
                request.result.late++;
                this.retry(request, request.source.retriesAtOnce === undefined ? 200 : stepMs);
            }
        }
    }

    private endAnswers(): void {
        for (const { request, ingress, startedAt } of this.running.filter(({ endsAt }) => endsAt <= this.now)) {
            const { source, slotMs } = request;
            const owner = { service, rank: source.rank, workspace: source.workspace };
            ingress.ledger.recordServed(owner, slotMs, this.now - startedAt);
        }
        this.running = this.running.filter(({ endsAt }) => endsAt > this.now);
    }

    private syncIfDue(ingress: Ingress, index: number): void {
        if (this.now < ingress.nextSyncAt) {
            return;
        }
        ingress.nextSyncAt = this.now + intervalMs;
        const sentAt = this.now;
        const req = this.request(ingress);
        const delivery = this.options.deliver?.(index, sentAt) ?? 2;
        if (delivery === "lost") {
            return;
        }
        this.later.push({
            at: sentAt + delivery,
            action: () => {
                this.room.record(req);
                const levels = this.room.levels(this.now, () => ({
                    live: () => new Set(this.ingresses.map(({ name }) => name)),
                    intervalMs,
                    capacityOf: (): ServiceCapacity => ({ slots: this.slots, slowdown: 1, tokensPerMs: undefined }),
                }));
                ingress.ledger.confirm(sentAt);
                ingress.answeredAt = sentAt;
                ingress.levels = levels;
                ingress.validUntil = sentAt + 3 * intervalMs;
            },
        });
    }

    private request(ingress: Ingress): SyncRequest {
        const address = { host: "10.0.0.2", port: 80 };
        const { name, demandMs } = ingress;
        ingress.demandMs = 0;
        const req = {
            ingress: { name, ...address, inner: address, region: "r", failureDomain: "a", accepting: true },
            lifetime: name,
            wallMs: 0,
            elapsedMs: this.now - ingress.answeredAt,
            catalogVersion: 0,
            listNumber: 0,
            load: {},
            followsOthers: true,
            suspects: [],
            rosterTag: 0,
            usage: {},
            demand: { [service]: { unreadTokens: 0, promptTokens: 0, placeMs: demandMs } },
            room: ingress.reportsRoom ? ingress.ledger.takeReport(this.now) : undefined,
        };
        return syncRequestSchema.parse(JSON.parse(JSON.stringify(req)));
    }
}

function emptyResult(): SourceResult {
    return {
        requests: 0,
        served: 0,
        refused: 0,
        late: 0,
        sizes: Array.from({ length: sizeClasses }).map(() => ({ requests: 0, served: 0 })),
        shared: { requests: 0, served: 0 },
    };
}

function sizeOf(result: SourceResult, size: number): { requests: number; served: number; } {
    return result.sizes[size] as { requests: number; served: number; };
}
