import { MembershipCodec, type Message } from "@lentilramp/membership";
import { expect } from "chai";
import fc from "fast-check";

const codec = new MembershipCodec(Buffer.from("key 1"));
const message: Message = {
    kind: "ping-req",
    from: "a",
    incarnation: 3,
    seq: 9,
    target: "b",
    updates: [
        { id: "c", status: "suspect", incarnation: 4 },
        { id: "d", status: "alive", incarnation: 5, address: { host: "127.0.0.1", port: 9_000 } },
    ],
};

describe("MembershipCodec", () => {
    // Guards against fields that are not encoded, and against a key change that requires all processes to stop.
    it("decodes an encoded message with the same key and with an accepted key", () => {
        const bytes = codec.encode(message).unwrap();
        expect(codec.decode(bytes).unwrap()).to.deep.equal(message);
        const next = new MembershipCodec(Buffer.from("key 2"), [Buffer.from("key 1")]);
        expect(next.decode(bytes).unwrap()).to.deep.equal(message);
    });

    // Guards against forged or damaged datagrams, and against a decoder that throws on them.
    it("refuses any changed or random datagram and one with another key", () => {
        const bytes = codec.encode(message).unwrap();
        fc.assert(
            fc.property(fc.nat(bytes.byteLength - 1), fc.integer({ min: 1, max: 255 }), (position, mask) => {
                const changed = Uint8Array.from(bytes);
                changed[position]! ^= mask;
                expect(codec.decode(changed).isErr()).to.equal(true);
            }),
            { seed: 3, numRuns: 200 },
        );
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 2_000 }), random => {
                expect(codec.decode(random).isErr()).to.equal(true);
            }),
            { seed: 3, numRuns: 200 },
        );
        expect(new MembershipCodec(Buffer.from("key 2")).decode(bytes).isErr()).to.equal(true);
    });

    // Guards against datagrams that the network fragments.
    it("refuses to encode 1,200 bytes or more", () => {
        const update = { id: "x".repeat(100), status: "dead" as const, incarnation: 1 };
        const large = codec.encode({ ...message, updates: Array.from({ length: 20 }, () => update) });
        expect(large.isErr()).to.equal(true);
    });
});
