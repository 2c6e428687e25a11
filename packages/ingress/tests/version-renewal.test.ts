import { VersionRenewal, VersionSplit } from "@lentilramp/ingress";
import { RpcError } from "@lentilramp/protocol";
import { type RenewAnswer, renewMethod, type RenewRequest, renewRequestSchema } from "@lentilramp/rollouts";
import { ManualClock, MemoryEventLog, MemoryMetrics, SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

describe("VersionRenewal", () => {
    let clock: ManualClock;
    let log: MemoryEventLog;
    let split: VersionSplit;
    let renewal: VersionRenewal;
    let answer: () => RenewAnswer;
    let requests: RenewRequest[];
    let earlySyncs: number;

    const notices = (share: number): NonNullable<RenewAnswer["rollouts"]> => ({
        revision: 1,
        partial: false,
        services: {
            app: {
                state: "running",
                target: "v2",
                orderedAt: 1_000,
                barred: [],
                share,
                closed: false,
                ageMs: 0,
                validMs: 2_500,
                renewMs: 1_500,
            },
        },
    });

    beforeEach(async () => {
        clock = new ManualClock(10_000);
        log = new MemoryEventLog();
        split = new VersionSplit(clock, new SeededRandom(1), new MemoryMetrics(), "a");
        requests = [];
        earlySyncs = 0;
        const client = {
            call: async (
                ...[steward, method, req]: [unknown, string, unknown, unknown, number]
            ): Promise<RenewAnswer> => {
                expect([steward, method]).to.deep.equal([{ host: "h", port: 1 }, renewMethod]);
                requests.push(renewRequestSchema.parse(JSON.parse(JSON.stringify(req))));
                return answer();
            },
        };
        renewal = new VersionRenewal(
            split,
            client as unknown as ConstructorParameters<typeof VersionRenewal>[1],
            () => ({ host: "h", port: 1 }),
            () => ({ ingress: "a", lifetime: "a1", load: { old: { running: 2 } } }),
            () => earlySyncs++,
            clock,
            log,
        );
        await renewal.start();
    });

    afterEach(() => renewal.close());

    async function run(ms: number): Promise<void> {
        for (const end = clock.now() + ms; clock.now() < end;) {
            clock.advanceTo(clock.now() + 100);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    // Guards against a share that ends between two syncs, and against calls of ingresses that take none.
    it("renews a share before it ends, with reports, and asks nothing without one", async () => {
        answer = () => ({ leading: true, rollouts: notices(0.5) });
        await run(4_000);
        expect(requests).to.have.length(0);
        split.apply({ rollouts: notices(0.5), leading: true }, clock.now());
        split.forRequest("app").recordAsked();
        for (let i = 0; i < 80; i++) {
            await run(100);
            expect(split.largestShare).to.equal(0.5);
        }
        expect(requests.length).to.be.within(4, 6);
        expect(requests[0]).to.deep.include({ ingress: "a", lifetime: "a1", load: { old: { running: 2 } } });
        expect(requests[0]?.rolloutResults.app).to.include({ asked: 1, share: 0.5 });
        answer = () => ({ leading: true, rollouts: notices(0) });
        await run(2_000);
        const { length } = requests;
        await run(4_000);
        expect(requests).to.have.length(length);
        expect(split.largestShare).to.equal(0);
        expect(earlySyncs).to.equal(0);
    });

    // Guards against calls without a pause, and against waiting for the next sync, while another steward leads.
    it("asks for a sync, and again after a pause, when the steward does not lead or does not answer", async () => {
        answer = () => ({ leading: false });
        split.apply({ rollouts: notices(0.5), leading: true }, clock.now());
        await run(2_600);
        expect(split.largestShare).to.equal(0);
        expect(requests.length).to.be.within(1, 2);
        expect(earlySyncs).to.equal(requests.length);
        answer = () => {
            throw new RpcError("timeout", "no answer");
        };
        await run(3_000);
        expect(requests.length).to.be.within(5, 8);
        expect(earlySyncs).to.equal(requests.length);
        expect(log.events.filter(({ name }) => name === "rollout.not-renewed")).to.have.length(1);
    });
});
