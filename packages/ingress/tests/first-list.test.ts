import { EndpointListFallback, type FleetView } from "@lentilramp/ingress";
import { ManualClock, MemoryEventLog } from "@lentilramp/runtime";
import { expect } from "chai";

const maxAgeMs = 1_000;

describe("EndpointListFallback after the start of a process", () => {
    let clock: ManualClock;
    let listReadAt: number;
    let reads: number[];
    let lacksLeader: boolean;
    let fails: boolean;
    let fallback: EndpointListFallback;

    beforeEach(async () => {
        clock = new ManualClock(1_000);
        listReadAt = -Infinity;
        reads = [];
        lacksLeader = false;
        fails = false;
        const view = {
            releaseVersions: () => undefined,
            memberCount: 1,
            endpoints: { ageMs: (now: number) => now - listReadAt },
            applyEndpointList: (...[, readAt]: [unknown, number, number]) => listReadAt = readAt,
        } as unknown as FleetView;
        const source = {
            read: async () => {
                reads.push(clock.now());
                return await (fails ? Promise.reject(new Error("no list")) : Promise.resolve([]));
            },
        };
        fallback = new EndpointListFallback(view, source, maxAgeMs, clock, new MemoryEventLog(), () => lacksLeader);
        await fallback.start();
    });

    afterEach(() => fallback.close());

    async function advance(ms: number): Promise<void> {
        for (const end = clock.now() + ms; clock.now() < end;) {
            clock.advanceTo(clock.now() + 1);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    // After a loss of power the list of the leader comes only after an election and a read of its own.
    it("reads the list as soon as the stewards are known to have no leader", async () => {
        await advance(40);
        expect(reads).to.deep.equal([]);
        lacksLeader = true;
        await advance(30);
        expect(reads).to.have.length(1);
        await advance(500);
        expect(reads).to.have.length(1);
    });

    // Every ingress that starts beside a leader would otherwise read the list, for which the platform has a rate limit.
    it("waits a check interval for a leader that may deliver the list, and does not read one that it has got", async () => {
        await advance(240);
        expect(reads).to.deep.equal([]);
        listReadAt = clock.now();
        await advance(900);
        expect(reads).to.deep.equal([]);
    });

    it("reads the list after the check interval if no sync has ended by then", async () => {
        await advance(300);
        expect(reads).to.have.length(1);
    });

    it("pauses after a failed read although there is no list and no leader", async () => {
        fails = true;
        lacksLeader = true;
        await advance(maxAgeMs - 50);
        expect(reads).to.have.length(1);
        await advance(400);
        expect(reads).to.have.length(2);
    });
});
