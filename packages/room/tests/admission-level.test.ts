import { admittedShare, drawPosition, lowestShare, maxRetryMs, minRetryMs, RetrySpread } from "@lentilramp/room";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import murmurhash from "murmurhash";

describe("Admission level", () => {
    const random = new SeededRandom(1);
    const level = { ranks: [[2, 0.5]], workspaces: [[2, "a", 0.25], [1, "a", 0.75]], clearMs: 400 } as const;
    const shares = (given: typeof level): Parameters<typeof admittedShare>[0] =>
        structuredClone(given) as unknown as Parameters<typeof admittedShare>[0];

    it("names the share of a rank, and of a workspace where that is lower", () => {
        const share = (rank: number, workspace: string): number => admittedShare(shares(level), rank, workspace);
        expect([share(0, "a"), share(1, "a"), share(1, "b"), share(2, "a"), share(2, "b")])
            .to.deep.equal([1, 0.75, 1, 0.25, 0.5]);
        expect(lowestShare(shares(level))).to.equal(0.25);
        expect(lowestShare(undefined)).to.equal(1);
    });

    // Guards against ingresses that decide differently on one request, and against sets of ids that are never admitted.
    it("draws the same position for an id everywhere, spread evenly and independent of the log sample", () => {
        const ids = [...Array(20_000).keys()].map(i => `id-${i}`);
        const below = (of: readonly string[]): number =>
            of.filter(id => drawPosition(id, random) < 0.3).length / of.length;
        expect(drawPosition("id-7", random)).to.equal(drawPosition("id-7", new SeededRandom(9)));
        expect(below(ids)).to.be.closeTo(0.3, 0.01);
        expect(below(ids.filter(id => murmurhash.v3(id) % 16 === 0))).to.be.closeTo(0.3, 0.04);
    });

    // Guards against callers without ids that are all refused, or all admitted.
    it("draws at random for requests without an id", () => {
        const admitted = Array.from({ length: 1_000 }, () => drawPosition("", random)).filter(at => at < 0.3).length;
        expect(admitted).to.be.within(250, 350);
    });
});

describe("RetrySpread", () => {
    // Guards against callers that all return at the same instant, to be refused again.
    it("spreads retries evenly over the time in which the refused work can be served, within its bounds", () => {
        const delays = (clearMs: number): number[] => {
            const spread = new RetrySpread(new SeededRandom(4));
            return Array.from({ length: 100 }, () => spread.nextDelayMs(clearMs)).sort((a, b) => a - b);
        };
        const gaps = delays(1_000).slice(1).map((delay, i) => delay - (delays(1_000)[i] ?? 0));
        expect(Math.max(...gaps)).to.be.below(40);
        for (const clearMs of [0, 60, 900, 1e9]) {
            expect(delays(clearMs)[0]).to.be.at.least(minRetryMs);
            expect(delays(clearMs).at(-1)).to.be.at.most(maxRetryMs);
            expect((delays(clearMs).at(-1) ?? 0) - (delays(clearMs)[0] ?? 0)).to.be.at.least(50);
        }
    });
});
