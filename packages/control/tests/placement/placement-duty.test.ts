import { requestJson, WeightStore } from "@lentilramp/stand-ins";
import { expect } from "chai";
import { domains, TestPlacement } from "./test-placement.ts";

describe("placement duty over sockets", () => {
    let test: TestPlacement;
    beforeEach(() => {
        test = new TestPlacement();
    });
    afterEach(async () => {
        await test.close();
    });

    async function startTwoEach() {
        const instances = [];
        for (const domain of [...domains, ...domains]) {
            instances.push(await test.startInstance(domain));
        }
        await test.configure(instances);
        return instances;
    }

    // Guards against endpoints that get new work during a reclaim wave, and against replacements in the same market.
    it("drains and replaces on demand in a reclaim wave", async () => {
        await test.start();
        const instances = await startTwoEach();
        const duty = test.duty("one");
        await test.rounds(duty, 2);
        await test.post("/admin/reclaims", { failureDomain: "b" });
        await test.rounds(duty, 2);
        const lost = instances.filter(({ failureDomain }) => failureDomain === "b").map(({ id }) => id);
        const drained = Object.entries(test.lifecycles()).flatMap(([id, state]) => state === "draining" ? [id] : []);
        expect(drained).to.deep.equal(lost);
        expect(await test.cells()).to.include("b on-demand").and.to.not.include("b reclaimable");
    });

    // Guards against a leaving mark that is not followed because its notice was missed.
    it("drains when only the list shows that an instance leaves", async () => {
        await test.start({ noticesKept: 1 });
        await startTwoEach();
        const duty = test.duty("one");
        await test.rounds(duty, 1);
        await test.post("/admin/reclaims", { failureDomain: "a" });
        const { notices } = (await requestJson(test.cloud, "GET", "/v1/notices?after=0")).body as {
            notices: unknown[];
        };
        await duty.runRound();
        expect(notices).to.have.length(1);
        expect(Object.values(test.lifecycles()).filter(state => state === "draining")).to.have.length(2);
    });

    // Guards against a failure domain that is given up for ever, or asked without pause, when it refuses starts.
    it("holds more elsewhere while a failure domain refuses starts, and returns later", async () => {
        await test.start();
        await test.configure([]);
        await test.post("/admin/refusals", { failureDomain: "c", rate: 1 });
        const duty = test.duty("one");
        await test.rounds(duty, 20);
        expect((await test.cells()).filter(cell => cell.startsWith("c"))).to.deep.equal([]);
        expect((await test.cells()).map(cell => cell[0])).to.include.members(["a", "b"]);
        const refusals = test.log.events.filter(({ name }) => name === "placement.start-refused").length;
        expect(refusals).to.be.within(1, 4);
        await test.post("/admin/refusals", { failureDomain: "c", rate: 0 });
        test.advance(60_000);
        await test.rounds(duty, 4);
        expect((await test.cells()).filter(cell => cell.startsWith("c"))).to.not.be.empty;
    });

    // Guards against a second instance when the holder is lost after the cloud carried out its order.
    it("continues after a holder that was lost between an order and its result", async () => {
        await test.start();
        const leaving = await test.startInstance("a");
        await test.configure([leaving]);
        await test.post("/admin/reclaims", { failureDomain: "a" });
        // A round drains first; the connections that its start will use are open by then.
        let silenced = false;
        test.beforeCommand = async command => {
            if (command.type === "drain-endpoint") {
                test.beforeCommand = async () => undefined;
                // The start is executed, but its answer never arrives.
                await test.post("/admin/faults", { kind: "silence", direction: "answers" });
                silenced = true;
            }
        };
        const lostRound = test.duty("one").runRound();
        // No list is read before the fault, because its connection would be silenced too.
        while (!silenced || (await test.listed()).length === 1) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const second = test.duty("two");
        await second.runRound();
        expect(await test.listed()).to.have.length(2);
        test.advance(4_000);
        await lostRound;
        await test.rounds(second, 6);
        expect(await test.cells()).to.deep.equal(domains.map(domain => `${domain} reclaimable`));
        expect(test.store.snapshot().duties.map(({ holder, fencing }) => [holder, fencing])).to.deep.equal([[
            "two",
            2,
        ]]);
    });

    // Guards against a process that orders although another one leads or the lease of another holder is valid.
    it("gives no order without leadership and the lease", async () => {
        await test.start();
        await test.configure([]);
        await test.duty("one", () => false).runRound();
        expect(await test.listed()).to.deep.equal([]);
        const { region } = test.store.configuration;
        const lease = { region, duty: "placement", holder: "other", leaseMs: 60_000 };
        await test.propose({ type: "duty-acquire", operationId: "held", ...lease });
        await test.rounds(test.duty("one"), 3);
        expect(await test.listed()).to.deep.equal([]);
    });

    // Guards against orders of the former holder and of its successor that are both valid at an endpoint that ignores
    // fencing numbers, as the cloud API does.
    it("waits for the orders of the earlier holder before it orders", async () => {
        await test.start();
        await test.configure([]);
        const duty = { region: test.store.configuration.region, duty: "placement", holder: "other" };
        await test.propose({ type: "duty-acquire", operationId: "held", ...duty, leaseMs: 1_000 });
        const order = { endpoint: "first", action: "start", fencing: 1, validForMs: 10_000 };
        await test.propose({ type: "order-issue", operationId: "earlier", ...duty, ...order });
        test.advance(2_000);
        const successor = test.duty("one");
        await test.rounds(successor, 5);
        expect(await test.listed()).to.deep.equal([]);
        await test.rounds(successor, 10);
        expect(await test.listed()).to.not.be.empty;
    });

    // Guards against engines that never get a model of the configuration, and against orders without fencing number.
    it("orders a missing model with the fencing number of the lease", async () => {
        await test.start();
        const weights = new WeightStore({ weights: { "desk-model": 1_000 } });
        test.keep(weights);
        await test.configure([await test.startInstance("a")], { models: [{ name: "desk-model" }] });
        await test.rounds(test.duty("one", () => true, await weights.start()), 2);
        const { accepted } = (await requestJson(test.engine, "GET", "/v1/orders")).body as {
            accepted: Record<string, unknown>[];
        };
        const found = accepted.map(({ kind, target, fencingNumber }) => [kind, target, fencingNumber]);
        expect(found).to.deep.equal([["load-model", "desk-model", 1]]);
    });

    // Guards against a start that is repeated for ever with the id of an instance that is already gone.
    it("replaces an instance that went without a notice", async () => {
        await test.start();
        await test.configure([]);
        const duty = test.duty("one");
        await test.rounds(duty, 2);
        const before = await test.cells();
        const [lost] = await test.listed();
        await requestJson(test.cloud, "DELETE", `/v1/instances/${lost?.id ?? ""}`);
        expect(await test.cells()).to.not.deep.equal(before);
        await test.rounds(duty, 3);
        expect(await test.cells()).to.deep.equal(before);
    });

    // Guards against a failing weight store that delays a drain.
    it("drains although the weight store does not answer", async () => {
        await test.start();
        await startTwoEach();
        const duty = test.duty("one", () => true, { host: "127.0.0.1", port: 1 });
        await test.post("/admin/reclaims", { failureDomain: "a" });
        await duty.runRound();
        expect(Object.values(test.lifecycles()).filter(state => state === "draining")).to.have.length(2);
    });
});
