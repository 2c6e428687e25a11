import { expect } from "chai";
import fc from "fast-check";
import { EventScanner, EventSplitter } from "../src/event-splitter.ts";

const ends = ["\n\n", "\r\n\r\n"];

/** Returns what follows the last event of a text, without the empty lines between events. */
function rest(text: string): string {
    const end = Math.max(0, ...ends.map(mark => text.lastIndexOf(mark) + (text.includes(mark) ? mark.length : 1)));
    return text.slice(end).replace(/^[\r\n]+/, "");
}

/** Counts the bytes that `action` copies and searches with the functions of Buffer. */
function bytesHandled(action: () => void): number {
    let bytes = 0;
    const { concat } = Buffer;
    const { lastIndexOf, includes, indexOf, copy } = Buffer.prototype;
    const count = <T extends (...args: never[]) => unknown>(original: T): T =>
        function(this: Buffer, ...args: never[]) {
            bytes += this.length;
            return original.apply(this, args);
        } as unknown as T;
    Buffer.concat = (list, ...rest) => {
        bytes += list.reduce((sum, part) => sum + part.length, 0);
        return concat(list, ...rest);
    };
    Object.assign(Buffer.prototype, {
        lastIndexOf: count(lastIndexOf),
        includes: count(includes),
        indexOf: count(indexOf),
        copy: count(copy),
    });
    try {
        action();
    }
    finally {
        Buffer.concat = concat;
        Object.assign(Buffer.prototype, { lastIndexOf, includes, indexOf, copy });
    }
    return bytes;
}

describe("EventSplitter", () => {
    it("splits a stream in the same places, in whatever chunks it comes", () => {
        const pieces = fc.constantFrom("id: 1", "data: x", "\n", "\r\n", "\n\n", "\r\n\r\n", "\r", ":");
        fc.assert(fc.property(fc.array(fc.array(pieces, { maxLength: 6 }), { maxLength: 20 }), parts => {
            const chunks = parts.map(part => part.join(""));
            const splitter = new EventSplitter();
            const relayed = chunks.map(chunk => splitter.push(Buffer.from(chunk)).completeEvents.toString()).join("");
            const remainder = splitter.takeRemainder().toString();
            expect(relayed + remainder).to.equal(chunks.join(""));
            expect(remainder.replace(/^[\r\n]+/, "")).to.equal(rest(chunks.join("")));
        }));
    });

    // Guards against an ingress that stands still for seconds: each chunk was joined with, and searched together with,
    // all that had been received of its event before.
    it("handles twice the bytes of an event that does not end with twice the work", () => {
        const workFor = (chunks: number): number => {
            const splitter = new EventSplitter();
            const bytes = bytesHandled(() => {
                for (let i = 0; i < chunks; i++) {
                    splitter.push(Buffer.from("word"));
                }
            });
            expect(splitter.remainingBytes).to.equal(4 * chunks);
            return bytes;
        };
        // A buffer that grows by doubling copies up to twice as much as another one; a square would give four times.
        expect(workFor(16_384)).to.be.at.most(3 * workFor(8_192));
    });
});

describe("EventScanner", () => {
    it("finds the events that carry data, in whatever chunks they come", () => {
        const pieces = fc.constantFrom("id: 1", "data: x", "\n", "\r\n", "\n\n", ": data", "dat", "a", "\r");
        fc.assert(fc.property(fc.array(fc.array(pieces, { maxLength: 6 }), { maxLength: 20 }), parts => {
            const chunks = parts.map(part => part.join(""));
            const scanner = new EventScanner();
            const found = chunks.filter(chunk => scanner.scan(Buffer.from(chunk))).length;
            const text = chunks.join("");
            const end = Math.max(...ends.map(mark => text.lastIndexOf(mark) + mark.length - 1));
            expect(found > 0).to.equal(/(?:^|[\r\n])data/.test(text.slice(0, Math.max(0, end))));
        }));
    });

    // Guards against a first event that counts as one without data, so that its stream is taken for stalled.
    it("finds the data of a first event that is torn inside the name of its field", () => {
        for (const chunks of [["dat", "a", "\n\n"], ["d", "ata: x\n\n"], ["da", "ta: x\n", "\n"]]) {
            const scanner = new EventScanner();
            expect(chunks.filter(chunk => scanner.scan(Buffer.from(chunk))).length).to.equal(1);
        }
    });
});
