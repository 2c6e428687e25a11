import { ManualClock } from "@lentilramp/runtime";
import type { Address, HttpStandIn } from "@lentilramp/stand-ins";
import { CloudApi, InstanceList, PlainService, requestJson, WeightStore } from "@lentilramp/stand-ins";
import { expect } from "chai";

describe("plain service and platform stand-ins", () => {
    const started: HttpStandIn[] = [];
    const start = async (standIn: HttpStandIn): Promise<Address> => {
        started.push(standIn);
        return await standIn.start();
    };
    afterEach(async () => {
        await Promise.all(started.splice(0).map(standIn => standIn.close()));
    });

    // Guards against a service stand-in that hides a double execution or counts calls that it did not execute.
    it("counts executions for each key under faults", async () => {
        const service = new PlainService({ latencyMs: 0 });
        const address = await start(service);
        const call = async () =>
            await requestJson(address, "POST", "/operations/deposit", { amount: 1 }, { "idempotency-key": "k" })
                .then(answer => answer.status, () => "cut");
        const fault = async (kind: string) =>
            await requestJson(address, "POST", "/admin/faults", { kind, count: 1, operation: "deposit" });
        await fault("error-before-execution");
        expect([await call(), service.executions("k")]).to.deep.equal([503, 0]);
        await fault("cut-after-execution");
        expect([await call(), service.executions("k")]).to.deep.equal(["cut", 1]);
        expect([await call(), service.executions("k")]).to.deep.equal([200, 2]);
        const counts = await requestJson(address, "GET", "/admin/executions");
        expect(counts.body).to.deep.equal({ total: 2, keys: { k: 2 } });
    });

    // Guards against a list that shows a change before its lag has passed.
    it("shows instance changes only after the lag", async () => {
        const clock = new ManualClock(0);
        const list = new InstanceList({ lagMs: 100 }, { clock });
        const address = await start(list);
        const instance = { id: "i1", host: "127.0.0.1", port: 1, failureDomain: "a", state: "leaving" };
        await requestJson(address, "PUT", "/admin/instances", { instances: [instance] });
        const read = async () => (await requestJson(address, "GET", "/v1/instances")).body;
        clock.advanceTo(99);
        expect(await read()).to.deep.equal({ instances: [] });
        clock.advanceTo(100);
        expect(await read()).to.deep.equal({ instances: [instance] });
    });

    // Guards against a second instance for a resent operation, and against waves that skip the notice.
    it("starts once for each operation, refuses by rate and gives notice in waves", async () => {
        const clock = new ManualClock(0);
        const address = await start(new CloudApi({ startMs: 0, noticeMs: 5_000 }, { clock }));
        const launch = async (operationId: string, failureDomain: string) => {
            const body = { operationId, failureDomain, machineClass: "small", market: "reclaimable" };
            return await requestJson(address, "POST", "/v1/instances", body);
        };
        const ids = [];
        for (const operation of ["1", "1", "2", "3", "4"]) {
            ids.push(((await launch(operation, "a")).body as { id: string; }).id);
        }
        expect(ids[0]).to.equal(ids[1]);
        await requestJson(address, "POST", "/admin/refusals", { failureDomain: "b", rate: 1 });
        expect((await launch("5", "b")).status).to.equal(409);
        const waves = { failureDomain: "a", fraction: 0.5, waves: 2, intervalMs: 1_000 };
        await requestJson(address, "POST", "/admin/reclaims", waves);
        clock.advanceTo(1_000);
        const { notices } = (await requestJson(address, "GET", "/v1/notices?after=0")).body as {
            notices: { reclaimAt: number; }[];
        };
        expect(notices.map(notice => notice.reclaimAt)).to.deep.equal([5_000, 5_000, 6_000]);
        clock.advanceTo(6_000);
        const left = (await requestJson(address, "GET", "/v1/instances")).body as { instances: unknown[]; };
        expect(left.instances).to.have.length(1);
    });

    // Guards against prices that never change or differ between two runs with the same seed.
    it("changes prices reproducibly", async () => {
        const series = async () => {
            const clock = new ManualClock(0);
            const address = await start(new CloudApi({ seed: 4 }, { clock }));
            const first = (await requestJson(address, "GET", "/v1/prices")).body as { prices: unknown; };
            clock.advanceTo(600_000);
            const second = (await requestJson(address, "GET", "/v1/prices")).body as { prices: unknown; };
            return [first.prices, second.prices];
        };
        const [one, two] = [await series(), await series()];
        expect(one).to.deep.equal(two);
        expect(one[0]).to.not.deep.equal(one[1]);
    });

    // Guards against a weight store that sends at full speed: the transfer ends only when the clock has moved.
    it("limits the rate of transfers", async () => {
        const clock = new ManualClock(0);
        const options = { weights: { w: 131_072 }, bytesPerSecond: 65_536 };
        const address = await start(new WeightStore(options, { clock }));
        let ended = false;
        const transfer = requestJson(address, "GET", "/v1/weights/w").then(answer => {
            ended = true;
            return answer;
        });
        while (!ended) {
            await requestJson(address, "GET", "/v1/weights");
            clock.advanceTo(clock.now() + 100);
        }
        expect((await transfer).status).to.equal(200);
        expect(clock.now()).to.be.at.least(2_000);
    });
});
