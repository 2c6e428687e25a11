import { expect } from "chai";
import fc from "fast-check";
import { EngineEventReader } from "../src/engine-events.ts";

function eventOf(offset: number, text: string): string {
    const chunk = { id: "r", token_offset: offset, choices: [{ index: 0, delta: { content: text } }] };
    return `id: ${offset + 1}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

describe("EngineEventReader", () => {
    // Guards against tokens that are missing, split or unescaped wrongly, wherever network reads split the stream.
    it("reads the same tokens for any text and any split of the stream", () => {
        fc.assert(
            fc.property(
                fc.array(fc.string({ unit: "binary", maxLength: 6 }), { maxLength: 12 }),
                fc.array(fc.nat({ max: 40 }), { maxLength: 30 }),
                (texts, lengths) => {
                    const stream = `${texts.map((text, offset) => eventOf(offset, text)).join("")}data: [DONE]\n\n`;
                    const reader = new EngineEventReader(0);
                    const events = [];
                    let from = 0;
                    for (const length of [...lengths, stream.length]) {
                        events.push(...reader.feed(stream.slice(from, from + length)));
                        from += length;
                    }
                    expect(events.map(event => event.kind === "token" ? event.text : undefined)).to.deep.equal([
                        ...texts,
                        undefined,
                    ]);
                    expect(events.slice(0, -1).map(event => event.kind === "token" ? event.offset : -1)).to.deep.equal([
                        ...texts.keys(),
                    ]);
                },
            ),
            { seed: 31, numRuns: 300 },
        );
    });

    // Guards against raw bytes that are forwarded although they hold an incomplete event or an event of another form.
    it("marks only input that consists of complete events in the plain form as forwardable", () => {
        const reader = new EngineEventReader(0);
        const isForwardable = (part: string) => {
            reader.feed(part);
            return reader.canForwardVerbatim;
        };
        const [first, second] = [eventOf(0, "a"), eventOf(1, "b")];
        expect(isForwardable(first + second)).to.equal(true);
        expect(isForwardable(first + second.slice(0, 9))).to.equal(false);
        expect(isForwardable(second.slice(9))).to.equal(false);
        expect(isForwardable(eventOf(2, 'a"b'))).to.equal(false);
        expect(isForwardable("data: [DONE]\n\n")).to.equal(false);
        expect(isForwardable(eventOf(3, "c"))).to.equal(true);
    });

    it("numbers the tokens of engines whose events contain no offsets", () => {
        const events = new EngineEventReader(7).feed(
            'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: {"choices":[]}\n\n',
        );
        expect(events.map(event => event.kind === "token" ? event.offset : -1)).to.deep.equal([7, 8]);
    });

    // Guards against an entry that keeps an event without an end, and joins all of it with each chunk.
    it("throws on an event that does not end, after a bounded number of chunks", () => {
        const reader = new EngineEventReader(0);
        let chunks = 0;
        const feedWords = (): void => {
            for (; chunks < 100_000; chunks++) {
                reader.feed("word");
            }
        };
        expect(feedWords).to.throw("does not end");
        expect(chunks).to.be.below(5_000);
    });

    it("throws on an event that is not valid JSON", () => {
        expect(() => new EngineEventReader(0).feed("data: {broken\n\n")).to.throw("not valid JSON");
    });
});
