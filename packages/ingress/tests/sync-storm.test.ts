import type { SyncAnswer, SyncRequest } from "@lentilramp/exchange";
import { SyncBacklog, syncIntervalMs } from "@lentilramp/fleet";
import { FleetSync } from "@lentilramp/ingress";
import type { PeerAddress, RpcClient } from "@lentilramp/protocol";
import { ManualClock, MemoryEventLog, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

/** Processor time of the leader for an answer with catalog, endpoints and roster, and for one without, in milliseconds. */
const fullAnswerMs = 8;
const shortAnswerMs = 2;
const linkDelayMs = 5;
/** Time within which every ingress must have reached the leader after a restart of the whole fleet, in milliseconds. */
const contactBoundMs = 4_000;
const stewards = [1, 2, 3, 4, 5].map(i => ({ host: `10.0.0.${i}`, port: 1 }));
const [leader] = stewards as [PeerAddress];

interface Call {
    isFull: boolean;
    resolve: (answer: SyncAnswer) => void;
}

/** A leading steward that answers one sync at a time, and followers that name it. */
class BusyLeader {
    answered = 0;
    private readonly backlog = new SyncBacklog<Call>();
    private busyUntil = 0;

    constructor(private readonly clock: ManualClock) {}

    async call(peer: PeerAddress, req: SyncRequest, deadline: number): Promise<SyncAnswer> {
        const { clock } = this;
        return await new Promise((resolve, reject) => {
            clock.schedule(deadline, () => reject(new Error("no response before the deadline")));
            clock.schedule(clock.now() + linkDelayMs, () => {
                if (peer.host !== leader.host) {
                    clock.schedule(
                        clock.now() + linkDelayMs,
                        () => resolve({ leading: false, leader, stewards, members: 0 }),
                    );
                    return;
                }
                this.backlog.push({ isFull: req.catalogVersion < 0, resolve }, clock.now(), req.waitMs);
                this.serve();
            });
        });
    }

    private serve(): void {
        const now = this.clock.now();
        if (now < this.busyUntil) {
            return;
        }
        this.backlog.dropExpired(now);
        const next = this.backlog.takeNext(now);
        if (next !== undefined) {
            this.answered++;
            this.busyUntil = now + (next.isFull ? fullAnswerMs : shortAnswerMs);
            this.clock.schedule(this.busyUntil, () => {
                next.resolve({ leading: true, stewards, members: 0 });
                this.serve();
            });
        }
    }
}

/** Returns the number of ingresses that have heard the leader by the bound, and the number of answers it took. */
async function restartFleet(ingresses: number, seed: number): Promise<{ reached: number; answered: number; }> {
    const clock = new ManualClock(1_000);
    const busy = new BusyLeader(clock);
    const client = {
        call: (...[peer, , req, , deadline]: [PeerAddress, string, SyncRequest, unknown, number]) =>
            busy.call(peer, req, deadline),
    } as unknown as RpcClient;
    let reached = 0;
    for (let i = 0; i < ingresses; i++) {
        let catalogVersion = -1;
        const link = new FleetSync(
            client,
            () => stewards,
            () => ({ catalogVersion }) as never,
            answer => {
                if (answer.leading && catalogVersion < 0) {
                    catalogVersion = 1;
                    reached++;
                }
            },
            () => catalogVersion < 0 ? 1 : ingresses,
            clock,
            new SeededRandom(seed * 1_000 + i),
            new MemoryEventLog(),
        );
        await link.start();
    }
    for (const end = clock.now() + contactBoundMs + syncIntervalMs(1); clock.now() < end;) {
        clock.advanceTo(clock.now() + 1);
        await new Promise(resolve => setImmediate(resolve));
    }
    return { reached, answered: busy.answered };
}

describe("Syncs after a restart of the whole fleet", () => {
    // Guards against a leader that spends its processor time on answers for which nobody waits any more: callers that
    // had given up asked again at once, and no ingress learned the catalog for 22 s.
    for (const processes of [74, 191, 400]) {
        for (const seed of [1, 2, 3]) {
            it(`reach every ingress within the contact bound at ${processes} processes, seed ${seed}`, async () => {
                const ingresses = processes - 9;
                const { reached } = await restartFleet(ingresses, seed);
                expect(reached).to.equal(ingresses);
            });
        }
    }
});
