import { expect } from "chai";
import { runDistribution } from "../../src/experiments/configuration/run-distribution.ts";
import { measureHttpOverhead, MessageSizes, tcpBytes } from "../../src/experiments/configuration/wire-size.ts";

const http = { requestBytes: 188, responseBytes: 155 };
const variant = { name: "leader", relays: 0, mode: { kind: "subscribe" }, historyLimit: 1_000 } as const;

describe("config experiment", () => {
    // Guards against figures that cannot be reproduced, and against a run that ignores its seed.
    it("gives equal figures for equal seeds only", () => {
        const first = runDistribution(variant, 6, 1, http);
        expect(runDistribution(variant, 6, 1, http)).to.deep.equal(first);
        expect(runDistribution(variant, 6, 2, http)).to.not.deep.equal(first);
        expect(first.inForceMaxMs).to.be.within(1, 5_000);
    });

    // Guards against sizes that are estimated: parts encoded once must add up to the encoded whole.
    it("counts the bytes of the encoded answer", () => {
        const sizes = new MessageSizes(http);
        const increments = [{ from: 1, to: 2, change: { costWeight: 0.5 } }, { from: 2, to: 3, change: {} }];
        const answer = { version: 3, controlTime: 1 };
        const whole = JSON.stringify({ jsonrpc: "2.0", id: 7, result: { ...answer, increments } });
        expect(sizes.response(7, answer, { increments })).to.equal(tcpBytes(whole.length + http.responseBytes));
    });

    // Guards against a measured header size that depends on the run, which would break reproducibility.
    it("measures the same header sizes in each run", async () => {
        expect(await measureHttpOverhead()).to.deep.equal(await measureHttpOverhead());
    });
});
