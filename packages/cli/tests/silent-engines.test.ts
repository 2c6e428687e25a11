import { expectedTokens, ModelEngine } from "@lentilramp/stand-ins";
import { expect } from "chai";
import { applyFault, chatJob, FaultGroup, StandIns, textOf } from "./fault-group.ts";

const streamJob = chatJob(150);
const wholeText = expectedTokens(streamJob).join("");

describe("engine connections that go silent", () => {
    let group: FaultGroup;
    let engines: StandIns<ModelEngine>;

    beforeEach(async () => {
        engines = await new StandIns([0, 1].map(() => new ModelEngine({ stepMs: 10 }))).start();
        group = new FaultGroup();
        await group.startAll([0]);
        await group.found(group.withEndpoints(engines.addresses), ["entry-1"]);
    });

    afterEach(async () => {
        await group.close();
        await engines.close();
    });

    async function streams(count: number) {
        return await Promise.all(Array.from({ length: count }, () => group.openStream("entry-1", streamJob)));
    }

    function started(): number {
        return engines.all.reduce((sum, engine) => sum + engine.generator.counters.started, 0);
    }

    function generated(): number {
        return engines.all.reduce((sum, engine) => sum + engine.generator.counters.generated, 0);
    }

    // Guards against streams that wait for ever on a connection that neither delivers nor breaks.
    it("resumes the streams of all connections that go silent and serves new ones", async () => {
        const open = await streams(6);
        const [first, second] = engines.addresses;
        await Promise.all([
            applyFault(first, { kind: "silence", direction: "both" }),
            applyFault(second, { kind: "silence", direction: "answers" }),
        ]);
        const fresh = await group.openStream("entry-1", streamJob);
        for (const { answer } of [...open, fresh]) {
            expect(textOf((await answer).body)).to.equal(wholeText);
        }
        expect(started()).to.be.greaterThan(open.length + 1);
    });

    // Guards against cutting off an engine that is slow: its streams would be computed again elsewhere for nothing.
    it("leaves the streams of a slow engine where they are", async () => {
        const open = await streams(4);
        // A step takes 2.5 s, longer than the silence after which the entry asks the engine.
        await Promise.all(engines.addresses.map(address => applyFault(address, { kind: "slow", factor: 250 })));
        const before = generated();
        await group.until(() => generated() >= before + 2 * open.length);
        await Promise.all(engines.addresses.map(address => applyFault(address, { kind: "slow", factor: 1 })));
        for (const { answer } of open) {
            expect(textOf((await answer).body)).to.equal(wholeText);
        }
        expect(started()).to.equal(open.length);
    });
});
