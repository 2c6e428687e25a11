import { expect } from "chai";
import fc from "fast-check";
import { EngineEventReader } from "../src/engine-events.ts";

function eventOf(offset: number, text: string): string {
    const chunk = { id: "r", token_offset: offset, choices: [{ index: 0, delta: { content: text } }] };
    return `id: ${offset + 1}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

describe("EngineEventReader", () => {
    // Guards against tokens that are lost, split or unescaped wrongly, wherever the network cuts the parts.
    it("reads the same tokens for any text and any split into parts", () => {
        fc.assert(
            fc.property(
                fc.array(fc.string({ unit: "binary", maxLength: 6 }), { maxLength: 12 }),
                fc.array(fc.nat({ max: 40 }), { maxLength: 30 }),
                (texts, cuts) => {
                    const stream = `${texts.map((text, offset) => eventOf(offset, text)).join("")}data: [DONE]\n\n`;
                    const reader = new EngineEventReader(0);
                    const events = [];
                    let from = 0;
                    for (const cut of [...cuts, stream.length]) {
                        events.push(...reader.feed(stream.slice(from, from + cut)));
                        from += cut;
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

    // Guards against raw parts that are passed on although they hold a part of an event or an event of another form.
    it("marks only parts that hold whole events of the plain form", () => {
        const reader = new EngineEventReader(0);
        const marked = (part: string) => {
            reader.feed(part);
            return reader.wholePlainPart;
        };
        const [first, second] = [eventOf(0, "a"), eventOf(1, "b")];
        expect(marked(first + second)).to.equal(true);
        expect(marked(first + second.slice(0, 9))).to.equal(false);
        expect(marked(second.slice(9))).to.equal(false);
        expect(marked(eventOf(2, 'a"b'))).to.equal(false);
        expect(marked("data: [DONE]\n\n")).to.equal(false);
        expect(marked(eventOf(3, "c"))).to.equal(true);
    });

    it("numbers the tokens of engines that state no offsets", () => {
        const events = new EngineEventReader(7).feed(
            'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: {"choices":[]}\n\n',
        );
        expect(events.map(event => event.kind === "token" ? event.offset : -1)).to.deep.equal([7, 8]);
    });

    it("refuses an event that is not JSON", () => {
        expect(() => new EngineEventReader(0).feed("data: {broken\n\n")).to.throw("not valid JSON");
    });
});
