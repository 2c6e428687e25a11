import { requestJson, WeightStore } from "@lentilramp/stand-ins";
import { expect } from "chai";
import { failureDomains, TestPlacement } from "./test-placement.ts";

describe("PlacementDuty with a cloud API over sockets", () => {
    let test: TestPlacement;
    beforeEach(() => {
        test = new TestPlacement();
    });
    afterEach(async () => {
        await test.close();
    });

    async function startTwoInstancesPerDomain() {
        const instances = [];
        for (const domain of [...failureDomains, ...failureDomains]) {
            instances.push(await test.startInstance(domain));
        }
        await test.configure(instances);
        return instances;
    }

    // Endpoints of reclaimed instances must receive no new requests, and replacements in the same market could be
    // reclaimed too.
    it("drains reclaimed instances and replaces them with on-demand instances in a reclaim wave", async () => {
        await test.start();
        const instances = await startTwoInstancesPerDomain();
        const duty = test.duty("one");
        await test.runRounds(duty, 2);
        await test.postToCloud("/admin/reclaims", { failureDomain: "b" });
        await test.runRounds(duty, 2);
        const reclaimedIds = instances.filter(({ failureDomain }) => failureDomain === "b").map(({ id }) => id);
        const drainingIds = Object.entries(test.lifecycles()).flatMap(([id, state]) =>
            state === "draining" ? [id] : []
        );
        expect(drainingIds).to.deep.equal(reclaimedIds);
        expect(await test.instanceLabels()).to.include("b on-demand").and.to.not.include("b reclaimable");
    });

    // A notice can be missed, since the cloud API keeps only the newest ones. The state `leaving` in the instance list
    // must then suffice for a drain.
    it("drains an instance that the list shows as leaving if its reclaim notice was missed", async () => {
        await test.start({ noticesKept: 1 });
        await startTwoInstancesPerDomain();
        const duty = test.duty("one");
        await test.runRounds(duty, 1);
        await test.postToCloud("/admin/reclaims", { failureDomain: "a" });
        const { notices } = (await requestJson(test.cloud, "GET", "/v1/notices?after=0")).body as {
            notices: unknown[];
        };
        await duty.runRound();
        expect(notices).to.have.length(1);
        expect(Object.values(test.lifecycles()).filter(state => state === "draining")).to.have.length(2);
    });

    // Starts in a failure domain that refuses them must be retried, but with a backoff.
    it("starts instances elsewhere while a failure domain refuses starts, and retries it after a backoff", async () => {
        await test.start();
        await test.configure([]);
        await test.postToCloud("/admin/refusals", { failureDomain: "c", rate: 1 });
        const duty = test.duty("one");
        await test.runRounds(duty, 20);
        expect((await test.instanceLabels()).filter(label => label.startsWith("c"))).to.deep.equal([]);
        expect((await test.instanceLabels()).map(label => label[0])).to.include.members(["a", "b"]);
        const refusals = test.log.events.filter(({ name }) => name === "placement.start-refused").length;
        expect(refusals).to.be.within(1, 4);
        await test.postToCloud("/admin/refusals", { failureDomain: "c", rate: 0 });
        test.advance(60_000);
        await test.runRounds(duty, 4);
        expect((await test.instanceLabels()).filter(label => label.startsWith("c"))).to.not.be.empty;
    });

    // A holder that fails after the cloud executed its start order, but before the response, must not cause a second
    // instance to be started by its successor.
    it("does not start a second instance if the holder fails between a start order and its response", async () => {
        await test.start();
        const leaving = await test.startInstance("a");
        await test.configure([leaving]);
        await test.postToCloud("/admin/reclaims", { failureDomain: "a" });
        // A round drains before it starts instances, and the connections for the start are open by then.
        let silenced = false;
        test.onBeforeCommand = async command => {
            if (command.type === "drain-endpoint") {
                test.onBeforeCommand = async () => undefined;
                // The cloud executes the start, but its response never arrives.
                await test.postToCloud("/admin/faults", { kind: "silence", direction: "answers" });
                silenced = true;
            }
        };
        const failedHolderRound = test.duty("one").runRound();
        // The list is not read before the fault, because the fault would silence that connection too.
        while (!silenced || (await test.listedInstances()).length === 1) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const successor = test.duty("two");
        await successor.runRound();
        expect(await test.listedInstances()).to.have.length(2);
        test.advance(4_000);
        await failedHolderRound;
        await test.runRounds(successor, 6);
        expect(await test.instanceLabels()).to.deep.equal(failureDomains.map(domain => `${domain} reclaimable`));
        expect(test.store.snapshot().duties.map(({ holder, fencing }) => [holder, fencing])).to.deep.equal([[
            "two",
            2,
        ]]);
    });

    // Only the leader may give orders, and only while no other holder has a valid lease.
    it("gives no order if another process leads or another holder has a valid lease", async () => {
        await test.start();
        await test.configure([]);
        await test.duty("one", () => false).runRound();
        expect(await test.listedInstances()).to.deep.equal([]);
        const { region } = test.store.configuration;
        const lease = { region, duty: "placement", holder: "other", leaseMs: 60_000 };
        await test.propose({ type: "duty-acquire", operationId: "held", ...lease });
        await test.runRounds(test.duty("one"), 3);
        expect(await test.listedInstances()).to.deep.equal([]);
    });

    // At a receiver that does not check fencing numbers, such as the cloud API, orders of the previous holder and of
    // its successor must not be valid at the same time.
    it("gives no order until the orders of the previous holder have expired", async () => {
        await test.start();
        await test.configure([]);
        const duty = { region: test.store.configuration.region, duty: "placement", holder: "other" };
        await test.propose({ type: "duty-acquire", operationId: "held", ...duty, leaseMs: 1_000 });
        const order = { endpoint: "first", action: "start", fencing: 1, validForMs: 10_000 };
        await test.propose({ type: "order-issue", operationId: "earlier", ...duty, ...order });
        test.advance(2_000);
        const successor = test.duty("one");
        await test.runRounds(successor, 5);
        expect(await test.listedInstances()).to.deep.equal([]);
        await test.runRounds(successor, 10);
        expect(await test.listedInstances()).to.not.be.empty;
    });

    // An engine must load the models of its endpoint, and each order must contain the fencing number.
    it("orders an engine to load a missing model, with the fencing number of the lease", async () => {
        await test.start();
        const weights = new WeightStore({ weights: { "desk-model": 1_000 } });
        test.closeAfterTest(weights);
        await test.configure([await test.startInstance("a")], { models: [{ name: "desk-model" }] });
        await test.runRounds(test.duty("one", () => true, await weights.start()), 2);
        const { accepted } = (await requestJson(test.engine, "GET", "/v1/orders")).body as {
            accepted: Record<string, unknown>[];
        };
        const found = accepted.map(({ kind, target, fencingNumber }) => [kind, target, fencingNumber]);
        expect(found).to.deep.equal([["load-model", "desk-model", 1]]);
    });

    // The cloud API returns the gone instance for the operation id that started it, so a start that repeats the id
    // would never replace the instance.
    it("replaces an instance that disappeared without a notice, instead of repeating its operation id", async () => {
        await test.start();
        await test.configure([]);
        const duty = test.duty("one");
        await test.runRounds(duty, 2);
        const before = await test.instanceLabels();
        const [deletedInstance] = await test.listedInstances();
        await requestJson(test.cloud, "DELETE", `/v1/instances/${deletedInstance?.id ?? ""}`);
        expect(await test.instanceLabels()).to.not.deep.equal(before);
        await test.runRounds(duty, 3);
        expect(await test.instanceLabels()).to.deep.equal(before);
    });

    // A failure to read the weight sizes must not delay a drain.
    it("drains in the same round even if the weight store does not respond", async () => {
        await test.start();
        await startTwoInstancesPerDomain();
        const duty = test.duty("one", () => true, { host: "127.0.0.1", port: 1 });
        await test.postToCloud("/admin/reclaims", { failureDomain: "a" });
        await duty.runRound();
        expect(Object.values(test.lifecycles()).filter(state => state === "draining")).to.have.length(2);
    });
});
