import { expect } from "chai";
import { pieceBytes, pieceLength } from "../src/message-pieces.ts";

describe("pieceLength", () => {
    const head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const lengthOf = (text: string, bodyBytesLeft?: number): number => pieceLength(Buffer.from(text), bodyBytesLeft);

    // Guards against a parser that gets several requests at once, between which it cannot be stopped.
    it("ends behind the first head", () => {
        expect(lengthOf(head.repeat(3))).to.equal(head.length);
        expect(lengthOf(head.slice(0, -2))).to.equal(head.length - 2);
        expect(lengthOf("x".repeat(10_000))).to.equal(pieceBytes);
    });

    it("takes a body of known length, but nothing behind it", () => {
        expect(lengthOf("x".repeat(9_000) + head, 9_000)).to.equal(9_000);
        expect(lengthOf("x".repeat(10), 9_000)).to.equal(10);
    });

    // Guards against a body in tiny chunks that is parsed without a pause, and against large chunks in many pieces.
    it("takes a large chunk at once, and small ones up to the limit", () => {
        expect(lengthOf("x".repeat(30_000) + "\r\n0\r\n\r\n", 0)).to.equal(30_000);
        expect(lengthOf("1\r\nx\r\n".repeat(5_000), -6)).to.equal(pieceBytes);
        expect(lengthOf(`1\r\nx\r\n0\r\n\r\n${head}`, 0)).to.equal("1\r\nx\r\n0\r\n\r\n".length);
    });
});
