import { expectedTokens, ModelEngine, PlainService } from "@lentilramp/stand-ins";
import { expect } from "chai";
import { v7 as newKey } from "uuid";
import { chatJob, errorOf, FaultGroup, StandIns, textOf } from "./fault-group.ts";

const chat = "/v1/chat/completions";
const reserve = "/v1/services/hire-app/reserve";
const streamJob = chatJob(200);

describe("planned stop of an entry", () => {
    let group: FaultGroup;
    let engines: StandIns<ModelEngine>;
    let services: StandIns<PlainService>;

    beforeEach(async () => {
        engines = await new StandIns([new ModelEngine({ stepMs: 10 })]).start();
        services = await new StandIns([new PlainService({ latencyMs: 800 })]).start();
        group = new FaultGroup();
        await group.startAll([0, 1]);
        await group.found(group.withEndpoints(engines.addresses, services.addresses), ["entry-1", "entry-2"]);
    });

    afterEach(async () => {
        await group.close();
        await Promise.all([engines.close(), services.close()]);
    });

    // Guards against a stop that cuts off streams or loses the outcome of a call that must not be repeated, and
    // against a refusal that calls a key undecided "not-run".
    it("ends everything in progress whole and refuses new requests truthfully", async () => {
        const streams = await Promise.all([1, 2, 3].map(() => group.openStream("entry-1", streamJob)));
        const key = newKey();
        const headers = { "idempotency-key": key };
        const call = group.send("entry-1", reserve, { lens: 1 }, headers);
        await group.until(async () => Number((await group.status("entry-1")).inFlight) === streams.length + 1);
        const stopped = group.stop("entry-1");
        const refusedChat = await group.send("entry-1", chat, streamJob);
        expect(refusedChat.status).to.equal(503);
        expect(errorOf(refusedChat)).to.include({ type: "draining", run: "not-run" });
        const otherKey = newKey();
        const refusedCall = await group.send("entry-1", reserve, { lens: 2 }, { "idempotency-key": otherKey });
        expect(refusedCall.status).to.equal(503);
        expect(errorOf(refusedCall)).to.include({ type: "draining", run: "undecided" });
        for (const { answer } of streams) {
            expect(textOf((await answer).body)).to.equal(expectedTokens(streamJob).join(""));
        }
        const first = await call;
        expect(first).to.include({ status: 200, complete: true });
        await stopped;
        expect(services.all[0]?.executions(otherKey)).to.equal(0);
        const repeat = await group.send("entry-2", reserve, { lens: 1 }, headers);
        expect(repeat.body).to.equal(first.body);
        expect(services.all[0]?.executions(key)).to.equal(1);
    });
});
