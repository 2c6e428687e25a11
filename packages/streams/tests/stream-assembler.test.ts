import { StreamAssembler } from "@lentilramp/streams";
import { expect } from "chai";
import fc from "fast-check";

const textAt = (offset: number) => `<${offset}>`;
const answer = (length: number) => Array.from(Array(length).keys(), textAt).join("");

describe("StreamAssembler", () => {
    it("does not release late output of an earlier attempt, even if its offset is the next one", () => {
        const assembler = new StreamAssembler();
        const first = assembler.startAttempt();
        assembler.accept(first, 0, "a");
        const second = assembler.startAttempt();
        expect(assembler.accept(first, 1, "x")).to.deep.equal({ kind: "late" });
        expect(assembler.finish(first)).to.equal(false);
        expect(assembler.accept(second, 1, "b")).to.deep.equal({ kind: "released", offset: 1, text: "b" });
        expect(assembler.received()).to.deep.equal({ offset: 2, text: "ab" });
    });

    it("leaves no gap in the answer when an engine resumes later than requested", () => {
        const assembler = new StreamAssembler({ offset: 5, text: "prefix" });
        const first = assembler.startAttempt();
        expect(assembler.accept(first, 7, "x")).to.deep.equal({ kind: "gap", expected: 5, got: 7 });
        expect(assembler.accept(first, 5, "x")).to.deep.equal({ kind: "late" });
        expect(assembler.accept(assembler.startAttempt(), 5, "y").kind).to.equal("released");
        expect(assembler.received()).to.deep.equal({ offset: 6, text: "prefixy" });
    });

    it("does not continue with another answer when an attempt repeats a token with another text", () => {
        const assembler = new StreamAssembler();
        assembler.accept(assembler.startAttempt(), 0, "a");
        const second = assembler.startAttempt();
        expect(assembler.accept(second, 0, "b")).to.deep.equal({ kind: "mismatch", offset: 0 });
        expect(assembler.accept(second, 1, "c")).to.deep.equal({ kind: "late" });
    });

    it("neither reorders, repeats nor loses a token for any interleaving of attempts, offsets and cuts", () => {
        const attempt = fc.record({
            shift: fc.integer({ min: -6, max: 3 }),
            length: fc.integer({ min: 0, max: 20 }),
            lateTokens: fc.integer({ min: 0, max: 5 }),
        });
        fc.assert(
            fc.property(fc.array(attempt, { maxLength: 12 }), fc.integer({ min: 1, max: 40 }), (attempts, total) => {
                const assembler = new StreamAssembler();
                let released = "";
                const send = (number: number, offset: number, text: string) => {
                    const result = assembler.accept(number, offset, text);
                    released += result.kind === "released" ? result.text : "";
                    return result.kind;
                };
                let earlier: { number: number; next: number; } | undefined;
                const run = (shift: number, length: number, lateTokens: number) => {
                    const number = assembler.startAttempt();
                    const start = Math.max(0, assembler.nextOffset + shift);
                    let offset = start;
                    for (; offset < Math.min(total, start + length); offset++) {
                        // An earlier attempt with a different continuation still sends tokens.
                        for (let i = 0; earlier !== undefined && i < lateTokens; i++) {
                            expect(send(earlier.number, earlier.next++, "other")).to.equal("late");
                        }
                        if (send(number, offset, textAt(offset)) === "gap") {
                            break;
                        }
                    }
                    earlier = { number, next: offset };
                    return number;
                };
                attempts.forEach(({ shift, length, lateTokens }) => run(shift, length, lateTokens));
                assembler.finish(run(0, total, 1));
                expect(released).to.equal(answer(total));
                expect(assembler.received()).to.deep.equal({ offset: total, text: answer(total) });
                expect(assembler.complete).to.equal(true);
            }),
            { seed: 21, numRuns: 500 },
        );
    });
});
