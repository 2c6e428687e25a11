import type { SyncAnswer } from "@lentilramp/exchange";
import { expect } from "chai";
import { testCatalog, testRoute, testWorkspace } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

/** Admits nothing of the rank of the test's route. */
const closedLevel = { app: { ranks: [[0, 0]], workspaces: [], clearMs: 800 } } as unknown as SyncAnswer["room"];
/** So many that the level is valid for longer than a test takes. */
const members = 4_000;

describe("RoomGate", () => {
    const endpoint = new ScriptedEndpoint("e1", sealed(200, "ok"));
    let ingress: IngressHarness | undefined;

    before(async () => await endpoint.start());

    after(() => endpoint.close());

    afterEach(async () => {
        await ingress?.close();
        ingress = undefined;
    });

    async function start(
        {
            reportsPace = true,
            running = 3,
            fleetAdmission = true,
            capPerSecond = 0,
            rank = 0,
            firstByteTargetMs = 400,
        } = {},
    ): Promise<{ harness: IngressHarness; apply: (room: SyncAnswer["room"], more?: Partial<SyncAnswer>) => void; }> {
        const workspaces = [testWorkspace({ capPerSecond, capBurst: 3 })];
        const catalog = testCatalog({ workspaces, routes: [testRoute({ rank, firstByteTargetMs })] });
        const harness = await IngressHarness.start(catalog, [endpoint], { fleetAdmission });
        ingress = harness;
        endpoint.requests.length = 0;
        harness.view.reportedMemberCount = members;
        harness.view.loads.applyPeerLoad("peer", [["e1", { running, unreadTokens: 0 }]], true);
        if (reportsPace) {
            harness.relay.roomGate.recordPace("app");
        }
        const apply = (room: SyncAnswer["room"], more: Partial<SyncAnswer> = {}): void =>
            harness.relay.roomGate.applyAnswer(
                { leading: true, stewards: [], members, room, ...more },
                harness.clock.now(),
            );
        return { harness, apply };
    }

    // Guards against requests that wait although the fleet has no capacity for them, and that use up their cap by that.
    it("refuses at once with a retry delay what the level does not admit, and refunds its cap", async () => {
        const { harness, apply } = await start({ capPerSecond: 0.001 });
        apply(closedLevel);
        for (let i = 0; i < 9; i++) {
            const answer = await harness.call({});
            expect(answer.status).to.equal(503);
            expect(JSON.parse(answer.body)).to.deep.equal({ error: "admission level" });
            expect(Number(answer.headers["retry-after"])).to.be.within(0.06, 0.8);
        }
        expect(endpoint.requests).to.have.lengthOf(0);
        apply({});
        expect((await harness.call({})).status).to.equal(200);
    });

    // Guards against a refusal while there is capacity, by a leader that counts wrongly.
    it("serves everything while half of the slots or less are taken here", async () => {
        const { harness, apply } = await start({ running: 2 });
        apply(closedLevel);
        expect((await harness.call({})).status).to.equal(200);
    });

    // Guards against refusals of large requests alone: they miss the budget of their rank also without any load.
    it("serves a request that is late for its size alone while half of the slots or less are taken here", async () => {
        // The answer is expected after 80 ms; the budget of rank 2 is three quarters of the target.
        const { harness, apply } = await start({ running: 1, rank: 2, firstByteTargetMs: 102 });
        apply({ app: { ranks: [[2, 0]], workspaces: [], clearMs: 800 } });
        // The dispatcher decides on it by its own rules, which depend on the time that has passed.
        expect((await harness.call({})).body).not.to.contain("admission level");
    });

    // Guards against a change for services whose endpoints report no pace, and for policies without the mechanism.
    it("serves services as before whose endpoints report no pace, or when the policy switches it off", async () => {
        for (const off of [{ reportsPace: false }, { fleetAdmission: false }]) {
            const { harness, apply } = await start(off);
            apply(closedLevel);
            expect((await harness.call({})).status).to.equal(200);
            expect(harness.relay.roomGate.takeReport()?.services ?? {}).to.deep.equal({});
            expect(harness.relay.roomGate.queueRule("app").isShared()).to.equal(false);
            await harness.close();
            ingress = undefined;
        }
    });

    // Guards against a level that outlives its leader, a partition or a freeze of this process.
    it("drops a level that is three sync intervals old, or that the leader no longer names", async () => {
        const { harness, apply } = await start();
        harness.view.reportedMemberCount = 1;
        harness.relay.roomGate.applyAnswer(
            { leading: true, stewards: [], members: 1, room: closedLevel },
            harness.clock.now() - 751,
        );
        expect((await harness.call({})).status).to.equal(200);
        harness.view.reportedMemberCount = members;
        apply(closedLevel);
        expect([...harness.relay.roomGate.lowestShares()]).to.deep.equal([["app", 0]]);
        apply({}, { leading: false });
        expect((await harness.call({})).status, "a follower knows no level").to.equal(503);
        // A leader of the earlier version sends none.
        apply(undefined);
        expect([...harness.relay.roomGate.lowestShares()]).to.deep.equal([["app", 1]]);
        expect((await harness.call({})).status).to.equal(200);
    });

    // Guards against a leader that does not hear of refused requests, and loosens the level because of that.
    it("reports the work that arrived, refused requests included, and the work that was served", async () => {
        const { harness, apply } = await start();
        await harness.call({});
        const served = harness.relay.roomGate.takeReport()?.services["app"]?.[0];
        expect(served?.slice(0, 3)).to.deep.equal([0, "w", 80]);
        expect(served?.[4]).to.equal(80);
        apply(closedLevel);
        harness.relay.roomGate.applyAnswer(
            { leading: true, stewards: [], members, room: closedLevel },
            harness.clock.now() + 1,
        );
        await harness.call({});
        const [rank, workspace, slotMs, , servedMs] = harness.relay.roomGate.takeReport()?.services["app"]?.[0] ?? [];
        expect([rank, workspace, servedMs]).to.deep.equal([0, "w", 0]);
        expect(slotMs).to.be.above(0);
    });

    // Guards against requests of one size, or of one ingress, that a level singles out.
    it("admits by the id of the request alone", async () => {
        const { harness, apply } = await start();
        apply({ app: { ranks: [[0, 0.5]], workspaces: [], clearMs: 100 } });
        const statusOf = async (id: string, body: string): Promise<number> =>
            (await harness.call({ method: "POST", headers: { "x-attempt-id": id }, body })).status;
        const statuses = [];
        for (let i = 0; i < 6; i++) {
            const pair = [await statusOf(`id-${i}`, "x"), await statusOf(`id-${i}`, "x".repeat(10_000))];
            statuses.push(pair.join());
        }
        expect(new Set(statuses.filter(pair => pair.includes("503")))).to.deep.equal(new Set(["503,503"]));
    });
});
