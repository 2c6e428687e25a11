import { safeParseLate } from "@lentilramp/runtime";
import { expect } from "chai";
import { z } from "zod";

describe("safeParseLate", () => {
    // A message must not be read in one way after a start and in another one later.
    it("gives the same result at every use", () => {
        const schema = z.object({
            name: z.string().min(1),
            count: z.number().optional(),
            parts: z.array(z.object({ id: z.number().default(7) })),
            kind: z.discriminatedUnion("type", [
                z.object({ type: z.literal("a"), a: z.string() }),
                z.strictObject({ type: z.literal("b") }),
            ]),
        });
        const values = [
            { name: "x", parts: [{}, { id: 2, other: true }], kind: { type: "a", a: "a" }, unknown: 1 },
            { name: "x", count: undefined, parts: [], kind: { type: "b" } },
            { name: "", parts: [{ id: "2" }], kind: { type: "b", more: 1 } },
            { name: "x", parts: [], kind: { type: "c" } },
            JSON.parse('{"name":"x","parts":[],"kind":{"type":"b"},"__proto__":{"count":1}}'),
            undefined,
        ];
        for (const value of values) {
            const expected = schema.safeParse(value);
            for (let i = 0; i < 50; i++) {
                const result = safeParseLate(schema, value);
                expect(result.success).to.equal(expected.success);
                expect(result.data).to.deep.equal(expected.data);
                expect(result.error?.issues).to.deep.equal(expected.error?.issues);
            }
        }
    });

    // Without code, checking a message takes a multiple of the processor time, for as long as the process runs.
    it("generates code only once the schema has been used often", () => {
        const contexts: (boolean | undefined)[] = [];
        const schema = z.string();
        const { safeParse } = schema;
        schema.safeParse = (value, params) => {
            contexts.push(params?.jitless);
            return safeParse(value, params);
        };
        for (let i = 0; i < 40; i++) {
            safeParseLate(schema, "x");
        }
        expect(contexts[0]).to.equal(true);
        expect(contexts.at(-1)).to.equal(undefined);
    });
});
