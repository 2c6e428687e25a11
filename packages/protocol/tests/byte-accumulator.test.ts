import { ByteAccumulator, readBody } from "@lentilramp/protocol";
import { expect } from "chai";
import fc from "fast-check";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { heapNoiseBytes, liveBytes } from "./live-bytes.ts";

describe("ByteAccumulator", () => {
    it("returns the bytes of all chunks in their order, and their last ones", () => {
        fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 })), fc.nat(8), (arrays, count) => {
            const chunks = arrays.map(array => Buffer.from(array));
            const whole = Buffer.concat(chunks);
            const bytes = new ByteAccumulator();
            chunks.forEach(chunk => bytes.append(chunk));
            expect(bytes.length).to.equal(whole.length);
            expect(bytes.tail(count).equals(whole.subarray(Math.max(0, whole.length - count)))).to.equal(true);
            expect(bytes.take().equals(whole)).to.equal(true);
            expect(bytes.length).to.equal(0);
        }));
    });

    // Guards against a process that runs out of memory because a body of single bytes keeps an object for each of them.
    it("keeps the bytes of a body alone, however small the chunks are in which it comes", async () => {
        const bytes = 400_000;
        const message = Object.assign(new PassThrough({ highWaterMark: 1 }), { headers: {}, complete: true });
        const read = readBody(message as unknown as IncomingMessage, bytes);
        const before = liveBytes();
        const chunk = Buffer.from("x");
        for (let i = 0; i < bytes; i++) {
            message.emit("data", chunk.subarray(0));
        }
        const kept = liveBytes() - before;
        message.emit("end");
        expect((await read).length).to.equal(bytes);
        // A buffer that grows by doubling has room for twice its bytes.
        expect(kept).to.be.below(2 * bytes + heapNoiseBytes);
    });
});
