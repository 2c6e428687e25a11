import { syncRequest } from "@lentilramp/bench";
import { type SyncRequest, syncRequestSchema } from "@lentilramp/exchange";
import {
    type AdmissionLevels,
    RoomAllocator,
    type ServiceCapacity,
    type WorkRate,
    type WorkRow,
} from "@lentilramp/room";
import { SeededRandom } from "@lentilramp/runtime";
import { FleetRoom } from "@lentilramp/steward";
import { expect } from "chai";

const intervalMs = 256;
const minReportMs = 50;
const capacity: ServiceCapacity = { slots: 40, slowdown: 1, tokensPerMs: 25 };
const services = ["app", "engines", "seldom"];

type Rates = Omit<WorkRate, "rank" | "workspace">;

/** Levels as they follow from the newest reports, which are read anew and summed by name for each decision. */
class SummingRoom {
    private readonly reports = new Map<string, SyncRequest>();
    private readonly allocators = new Map<string, RoomAllocator>();

    record(req: SyncRequest): void {
        this.reports.set(req.ingress.name, req);
        for (const service of Object.keys(req.room?.services ?? {})) {
            this.allocators.set(service, this.allocators.get(service) ?? new RoomAllocator());
        }
    }

    levels(now: number, live: ReadonlySet<string>): AdmissionLevels {
        for (const name of this.reports.keys()) {
            if (!live.has(name)) {
                this.reports.delete(name);
            }
        }
        const levels: AdmissionLevels = {};
        for (const [service, allocator] of this.allocators) {
            const level = allocator.observe(this.sums(service), capacity, now, intervalMs);
            if (level !== undefined && level.ranks.length + level.workspaces.length > 0) {
                levels[service] = level;
            }
            const isReported = [...this.reports.values()].some(({ room }) => room?.services[service] !== undefined);
            if (!isReported && level === undefined) {
                this.allocators.delete(service);
            }
        }
        return levels;
    }

    private sums(service: string): WorkRate[] {
        const sums = new Map<string, WorkRate>();
        const add = (rank: number, workspace: string, rates: Rates): void => {
            const key = `${rank} ${workspace}`;
            const sum = sums.get(key);
            sums.set(
                key,
                sum === undefined ? { rank, workspace, ...rates } : {
                    rank,
                    workspace,
                    slots: sum.slots + rates.slots,
                    tokensPerMs: sum.tokensPerMs + rates.tokensPerMs,
                    servedSlots: sum.servedSlots + rates.servedSlots,
                    occupiedSlots: sum.occupiedSlots + rates.occupiedSlots,
                },
            );
        };
        const unknown: Rates[] = [];
        for (const { room, demand, elapsedMs } of this.reports.values()) {
            const overMs = Math.max(minReportMs, room?.overMs ?? 0);
            const rows = room?.services[service];
            for (const [rank, workspace, slotMs, tokens, servedMs, occupiedMs] of rows ?? []) {
                add(rank, workspace, {
                    slots: slotMs / overMs,
                    tokensPerMs: tokens / overMs,
                    servedSlots: servedMs / overMs,
                    occupiedSlots: occupiedMs / overMs,
                });
            }
            if (rows === undefined && demand[service] !== undefined) {
                const { placeMs, unreadTokens } = demand[service];
                const demandMs = Math.max(minReportMs, elapsedMs);
                unknown.push({
                    slots: placeMs / demandMs,
                    tokensPerMs: unreadTokens / demandMs,
                    servedSlots: 0,
                    occupiedSlots: 0,
                });
            }
        }
        const leastUrgent = Math.max(0, ...[...sums.values()].map(({ rank }) => rank));
        unknown.forEach(rates => add(leastUrgent, "", rates));
        return [...sums.values()];
    }
}

/** Returns the sync of one of the ingresses: some report rows, some only their demand, some both or nothing. */
function randomSync(name: string, random: SeededRandom, ranks: number): SyncRequest {
    const reported = services.filter(service => random.next() < (service === "seldom" ? 0.02 : 0.8));
    const amount = (most: number): number => random.next() < 0.1 ? 0 : random.next() * most;
    const row = (): WorkRow => {
        const slotMs = amount(1_500);
        const servedMs = slotMs * random.next();
        // The workspace "" is that of requests without one; a row of the same rank and workspace may come twice.
        const workspace = random.next() < 0.1 ? "" : `w${random.nextInt(6)}`;
        return [random.nextInt(ranks), workspace, slotMs, amount(900), servedMs, servedMs * (0.5 + random.next())];
    };
    return syncRequestSchema.parse(syncRequest(name, {
        listNumber: 1,
        elapsedMs: random.next() * 400,
        room: random.next() < 0.15 ? undefined : {
            overMs: random.next() * 400,
            services: Object.fromEntries(
                reported.map(service => [service, Array.from({ length: random.nextInt(7) }, row)]),
            ),
        },
        demand: random.next() < 0.5 ? {} : {
            engines: { unreadTokens: amount(900), promptTokens: 900, placeMs: amount(1_500) },
        },
    }));
}

describe("FleetRoom with rows in one array", () => {
    // Guards against rates that are added to another row, and against work that stays after its report is replaced.
    for (const seed of [1, 2, 3]) {
        it(`decides as on sums by name while ingresses, ranks and services come and go, seed ${seed}`, () => {
            const random = new SeededRandom(seed);
            const [kept, summing] = [new FleetRoom(undefined), new SummingRoom()];
            let withLevel = 0;
            let withoutLevel = 0;
            for (let i = 0; i < 400; i++) {
                const calm = i % 100 >= 70;
                const names = [...Array(calm ? 2 : 12).keys()].map(k => `i${k}`);
                for (const name of names.filter(() => random.next() < 0.7)) {
                    const req = randomSync(name, random, i % 50 < 25 ? 4 : 2);
                    kept.record(req);
                    summing.record(req);
                }
                const live = new Set(names.filter(() => random.next() < 0.95));
                const levels = kept.levels(i * intervalMs, () => ({
                    live: () => live,
                    intervalMs,
                    capacityOf: () => capacity,
                }));
                expect(levels).to.deep.equal(summing.levels(i * intervalMs, live));
                withLevel += Object.keys(levels).length;
                withoutLevel += Object.keys(levels).length === 0 ? 1 : 0;
            }
            expect(withLevel).to.be.above(100);
            expect(withoutLevel).to.be.above(20);
        });
    }
});
