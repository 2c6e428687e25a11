import { expectedTokens, ModelEngine } from "@lentilramp/stand-ins";
import { expect } from "chai";
import { chatJob, errorOf, FaultGroup, StandIns, textOf } from "./fault-group.ts";

const chat = "/v1/chat/completions";
/** Streams go on for longer than the 2.5 s of a send permit. */
const streamTokens = 330;
const streamJob = chatJob(streamTokens);
const wholeText = expectedTokens(streamJob).join("");

describe("an entry cut off from all control processes", () => {
    let group: FaultGroup;
    let engines: StandIns<ModelEngine>;

    beforeEach(async () => {
        engines = await new StandIns([new ModelEngine({ stepMs: 10 }), new ModelEngine({ stepMs: 10 })]).start();
        group = new FaultGroup();
        await group.startAll([0, 1]);
        await group.found(group.withEndpoints(engines.addresses), ["entry-1", "entry-2"]);
    });

    afterEach(async () => {
        await group.close();
        await engines.close();
    });

    async function refusal(entry: string): Promise<void> {
        await group.until(async () => {
            const answer = await group.send(entry, chat, chatJob(1));
            if (answer.status === 503) {
                expect(errorOf(answer)).to.include({ type: "no-permit", run: "not-run" });
            }
            return answer.status === 503;
        });
    }

    // Guards against new work under a configuration that may have changed, and against cutting off streams for it.
    it("refuses new work, ends its streams whole and serves again afterwards", async () => {
        const { answer } = await group.openStream("entry-1", streamJob);
        group.network.isolate("entry-1");
        await refusal("entry-1");
        const started = engines.all.reduce((sum, engine) => sum + engine.generator.counters.started, 0);
        expect((await group.send("entry-1", chat, chatJob(1))).status).to.equal(503);
        expect(engines.all.reduce((sum, engine) => sum + engine.generator.counters.started, 0)).to.equal(started);
        expect(textOf((await answer).body)).to.equal(wholeText);

        group.network.heal();
        await group.until(async () => (await group.send("entry-1", chat, chatJob(1))).status === 200);
    });

    // Guards against new work at a drained endpoint from an entry that has not heard of the drain, and against cutting
    // off the streams that the endpoint serves.
    it("sends no new work to an endpoint that was drained meanwhile", async () => {
        const streams = await Promise.all([1, 2, 3, 4].map(() => group.openStream("entry-1", streamJob)));
        const other = await group.openStream("entry-2", streamJob);
        expect([...engines.all[0]?.generator.running() ?? []]).to.not.have.length(0);
        group.network.isolate("entry-1");
        const drained = await group.command("endpoint.drain", { operationId: "drain", endpoint: "engine-1" });
        expect(drained.ok).to.equal(true);
        await refusal("entry-1");
        await group.until(async () => Number((await group.status("entry-2")).version) >= drained.version);
        const atDrained = (): number => engines.all[0]?.generator.counters.started ?? 0;
        const before = atDrained();
        for (let i = 0; i < 20; i++) {
            expect((await group.send("entry-1", chat, chatJob(1))).status).to.equal(503);
            expect((await group.send("entry-2", chat, chatJob(1))).status).to.equal(200);
        }
        expect(atDrained()).to.equal(before);

        group.network.heal();
        await group.until(async () => (await group.send("entry-1", chat, chatJob(1))).status === 200);
        for (let i = 0; i < 20; i++) {
            expect((await group.send("entry-1", chat, chatJob(1))).status).to.equal(200);
        }
        expect(atDrained()).to.equal(before);
        for (const stream of [...streams, other]) {
            expect(textOf((await stream.answer).body)).to.equal(wholeText);
        }
    });
});
