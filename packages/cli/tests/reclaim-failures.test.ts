import { expectedTokens, InstanceList, ModelEngine } from "@lentilramp/stand-ins";
import { expect } from "chai";
import { applyFault, chatJob, FaultGroup, StandIns, textOf } from "./fault-group.ts";

/** Streams go on for longer than the 4 s of a notice, so they do not end in place. */
const streamJob = chatJob(550);
const wholeText = expectedTokens(streamJob).join("");
const streamCount = 6;

describe("failures in the middle of a reclaim", () => {
    let group: FaultGroup;
    let engines: StandIns<ModelEngine>;
    let list: InstanceList;

    beforeEach(async () => {
        // Exports take long enough for the engine to die during one.
        const options = { stepMs: 10, exportBytesPerSecond: 20_000 };
        engines = await new StandIns([0, 1, 2, 3].map(() => new ModelEngine(options))).start();
        list = new InstanceList({ lagMs: 0 });
        const { host, port } = await list.start();
        group = new FaultGroup();
        group.instanceListUrl = `http://${host}:${port}/v1/instances`;
        await group.startAll([0]);
        await group.found(group.withEndpoints(engines.addresses), ["entry-1"]);
    });

    afterEach(async () => {
        await group.close();
        await Promise.all([engines.close(), list.close()]);
    });

    function running(i: number): number {
        return [...engines.all[i]?.generator.running() ?? []].length;
    }

    function leave(i: number): void {
        list.set([{
            id: `engine-${i + 1}`,
            host: "127.0.0.1",
            port: engines.addresses[i]?.port ?? 0,
            failureDomain: "a",
            state: "leaving",
        }]);
    }

    /** Resolves when the engine exports the KV cache of a stream: the stream is paused, so it makes no tokens. */
    async function exporting(i: number): Promise<void> {
        await group.until(() => [...engines.all[i]?.generator.running() ?? []].some(held => held.sequence.paused));
    }

    // Guards against streams that end early when the engine dies while it exports them, and the engine that took
    // some of them over dies too.
    it("completes all streams when the engine dies during the export and a second one right after", async () => {
        const streams = await Promise.all(
            Array.from({ length: streamCount }, () => group.openStream("entry-1", streamJob)),
        );
        const first = [0, 1, 2, 3].reduce((best, i) => running(i) > running(best) ? i : best, 0);
        expect(running(first)).to.be.greaterThan(0);
        leave(first);
        await exporting(first);
        await engines.all[first]?.close();
        const others = [0, 1, 2, 3].filter(i => i !== first);
        await group.until(() => others.reduce((sum, i) => sum + running(i), 0) === streamCount);
        const second = others.reduce((best, i) => running(i) > running(best) ? i : best, others[0] ?? 0);
        await engines.all[second]?.close();
        for (const { answer } of streams) {
            expect(textOf((await answer).body)).to.equal(wholeText);
        }
    });

    // Guards against a stream that stays paused on a connection that goes silent after its engine was told to leave.
    it("completes all streams when the connections to the leaving engine go silent", async () => {
        const streams = await Promise.all(
            Array.from({ length: streamCount }, () => group.openStream("entry-1", streamJob)),
        );
        const first = [0, 1, 2, 3].reduce((best, i) => running(i) > running(best) ? i : best, 0);
        leave(first);
        await exporting(first);
        await applyFault(engines.addresses[first], { kind: "silence", direction: "both" });
        for (const { answer } of streams) {
            expect(textOf((await answer).body)).to.equal(wholeText);
        }
    });
});
