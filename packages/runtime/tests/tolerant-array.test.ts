import { tolerantArray } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";
import { z } from "zod";

describe("tolerantArray", () => {
    const schema = tolerantArray(z.object({ id: z.string(), port: z.int().min(1).max(65_535) }));

    // Guards against a list that is not followed any more because of one of its entries.
    it("keeps the elements that match, in their order, whatever stands between them", () => {
        const sound = fc.record({ id: fc.string(), port: fc.integer({ min: 1, max: 65_535 }) });
        const odd = fc.oneof(
            fc.jsonValue().filter(value => typeof value !== "object" || Array.isArray(value)),
            fc.record({ id: fc.string(), port: fc.constantFrom(0, -1, 65_536, 1e9, 1e300, NaN, Infinity, "80") }),
        );
        fc.assert(
            fc.property(fc.array(fc.oneof(sound, odd)), elements => {
                const matching = elements.filter(element => z.object({ id: z.string() }).safeParse(element).success)
                    .filter(element => Number.isInteger((element as { port: unknown; }).port))
                    .filter(element => Math.abs((element as { port: number; }).port - 32_768) < 32_768);
                expect(schema.parse(elements)).to.deep.equal(matching);
            }),
            { seed: 7, numRuns: 1_000 },
        );
    });

    it("rejects what is no array", () => {
        for (const value of [undefined, {}, "[]", 7]) {
            expect(schema.safeParse(value).success).to.equal(false);
        }
    });
});
