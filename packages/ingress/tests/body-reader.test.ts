import { ReadScheduler } from "@lentilramp/protocol";
import { expect } from "chai";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { PassThrough } from "node:stream";
import { type BodyBatch, BodyReader } from "../src/body-reader.ts";

type Body = PassThrough & { complete: boolean; };

function start(
    res: Body = Object.assign(new PassThrough(), { complete: false }),
): { res: Body; batches: BodyBatch[]; end: Promise<string>; } {
    const batches: BodyBatch[] = [];
    const reader = new BodyReader(
        res as unknown as IncomingMessage,
        new PassThrough() as unknown as ServerResponse,
        async () => false,
        { relay: batch => batches.push(batch) > 0 },
        new ReadScheduler(),
    );
    return { res, batches, end: reader.read() };
}

describe("BodyReader", () => {
    // Guards against a connection that takes the event loop from all others with a body in tiny chunks.
    it("passes on the chunks of one turn of the event loop together, and tells what they cost", async () => {
        const { res, batches, end } = start();
        for (let i = 0; i < 1_000; i++) {
            res.emit("data", Buffer.from("word"));
        }
        await new Promise(resolve => setImmediate(resolve));
        expect(batches.map(({ data }) => data.length)).to.deep.equal([4_000]);
        expect(batches[0]?.cost).to.be.above(10 * 4_000);
        res.emit("data", Buffer.from("last"));
        res.complete = true;
        res.emit("end");
        expect(await end).to.equal("complete");
        expect(batches.map(({ data }) => data.length)).to.deep.equal([4_000, 4]);
    });

    it("passes on what arrived before the connection broke", async () => {
        const { res, batches, end } = start();
        res.emit("data", Buffer.from("event"));
        res.emit("close");
        expect(await end).to.equal("cut");
        expect(batches.map(({ data }) => data.toString())).to.deep.equal(["event"]);
    });

    // Guards against a caller that waits until its deadline for a body whose connection broke before anybody read it.
    it("ends at once when the connection broke before the reading", async () => {
        const res = Object.assign(new PassThrough(), { complete: false });
        res.write("event");
        res.destroy();
        await once(res, "close");
        const { batches, end } = start(res);
        expect(await end).to.equal("cut");
        expect(batches).to.deep.equal([]);
    });
});
