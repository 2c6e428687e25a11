import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { testCatalog } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, RunningTime, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

describe("IngressHarness", () => {
    const { choosePorts } = IngressHarness;

    afterEach(() => {
        IngressHarness.choosePorts = choosePorts;
    });

    // Guards against a test that fails because another process took the port that had been found free.
    it("starts an ingress at other ports when one has been taken", async () => {
        const taken = createServer();
        taken.listen(0, "127.0.0.1");
        await once(taken, "listening");
        const endpoint = new ScriptedEndpoint("e1", sealed(200, "ok"));
        await endpoint.start();
        let chosen = 0;
        IngressHarness.choosePorts = async () => {
            const [callers, readiness] = await choosePorts();
            return chosen++ === 0 ? [callers, (taken.address() as AddressInfo).port] : [callers, readiness];
        };
        const ingress = await IngressHarness.start(testCatalog(), [endpoint]);
        try {
            expect(await ingress.call({})).to.include({ status: 200, body: "ok" });
            expect(chosen).to.equal(2);
        }
        finally {
            await ingress.close();
            taken.close();
            endpoint.close();
        }
    });
});

describe("RunningTime", () => {
    // Guards against a test that takes a lack of processor time for slowness of what it tests, and against a measure that
    // leaves out more than that, for instance time for which the ingress itself keeps the event loop busy.
    it("leaves out the time without the processor, and counts the rest", () => {
        let at = 0;
        let usedMs = 0;
        const time = new RunningTime(() => at, () => usedMs);
        const steps = [[5, 1], [20, 0], [6, 6], [400, 2], [400, 400], [300, 120], [5, 9]] as const;
        for (const [stepMs, stepUsedMs] of steps) {
            at += stepMs;
            usedMs += stepUsedMs;
            time.now();
        }
        time.close();
        expect(time.now()).to.equal(5 + 20 + 6 + 20 + 400 + 120 + 5);
    });

    it("counts the time for which the event loop is held", () => {
        const heldMs = 300;
        const startedAt = performance.now();
        const time = new RunningTime();
        const heldFrom = performance.now();
        const used = process.cpuUsage();
        // On a busy machine, the loop gets less processor time than it takes, and only the processor time counts.
        for (let usedMs = 0; performance.now() - heldFrom < heldMs || usedMs < heldMs;) {
            const { user, system } = process.cpuUsage(used);
            usedMs = (user + system) / 1_000;
        }
        // The sums of fractions of milliseconds are rounded.
        expect(time.now()).to.be.within(heldMs - 1, performance.now() - startedAt);
        time.close();
    });

    it("reads the time at short intervals by itself", async () => {
        let reads = 0;
        const time = new RunningTime(() => ++reads);
        while (reads < 10) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        time.close();
    });
});
