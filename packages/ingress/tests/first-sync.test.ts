import type { SyncAnswer } from "@lentilramp/exchange";
import { syncIntervalMs } from "@lentilramp/fleet";
import { FleetSync } from "@lentilramp/ingress";
import type { PeerAddress, RpcClient } from "@lentilramp/protocol";
import { ManualClock, MemoryEventLog, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

const stewards = [1, 2, 3].map(i => ({ host: `10.0.0.${i}`, port: 1 }));

describe("FleetSync after the start of a process", () => {
    let clock: ManualClock;
    let sent: { at: number; host: string; }[];
    let answer: (peer: PeerAddress) => SyncAnswer;
    let link: FleetSync;

    beforeEach(() => {
        clock = new ManualClock(1_000);
        sent = [];
        const client = {
            call: async (peer: PeerAddress) => {
                sent.push({ at: clock.now(), host: peer.host });
                return await Promise.resolve(answer(peer));
            },
        } as unknown as RpcClient;
        link = new FleetSync(
            client,
            () => stewards,
            () => ({}) as never,
            () => undefined,
            () => 1,
            clock,
            new SeededRandom(1),
            new MemoryEventLog(),
        );
    });

    afterEach(() => link.close());

    const advance = async (ms: number): Promise<void> => {
        for (const end = clock.now() + ms; clock.now() < end;) {
            clock.advanceTo(clock.now() + 1);
            for (let turn = 0; turn < 10; turn++) {
                await Promise.resolve();
            }
        }
    };

    // A process without a catalog refuses every request, so that an interval before its first sync is lost to callers.
    it("syncs at once, and then at the usual interval", async () => {
        answer = () => ({ leading: true, stewards, members: 1 });
        await link.start();
        await advance(2 * syncIntervalMs(1) + 10);
        const [first, second] = sent;
        expect(first?.at).to.be.at.most(1_001);
        expect((second?.at ?? 0) - (first?.at ?? 0)).to.be.at.least(syncIntervalMs(1));
    });

    // All stewards may start at the same time as the ingress. Syncs without a pause would take their processor time.
    it("pauses after each failure while no steward listens", async () => {
        answer = () => {
            throw new Error("connection refused");
        };
        await link.start();
        await advance(1_000);
        expect(sent.length).to.be.within(10, 21);
        expect(new Set(sent.map(({ host }) => host)).size).to.equal(stewards.length);
    });
});
