import { expect } from "chai";
import { playCalm } from "./calm-run.ts";
import type { Habit } from "./losses.ts";
import type { ProfileName } from "./profiles.ts";

describe("calm run", function() {
    this.timeout(60_000);
    const play = (seed: number, seconds: number, leftOut: readonly Habit[], profile: ProfileName = "mixed") =>
        playCalm({ seed, seconds, stewards: 3, ingresses: 3, callers: 48, leftOut, profile });

    // Guards against requests without an answer beside planned work, while sound endpoints pause.
    it("answers each request beside changes, reloads, stops and endpoints that leave or pause", async () => {
        const { lost, broken, answered } = await play(1, 4, ["half-close"]);
        expect([...broken, ...lost]).to.deep.equal([]);
        expect(answered).to.be.above(100);
    });

    // Guards against callers that close their sending side behind a whole request and get neither answer nor refusal.
    it("answers callers that close their sending side behind a request and read on", async () => {
        const { lost, broken, answered } = await play(2, 2, []);
        expect([...broken, ...lost]).to.deep.equal([]);
        expect(answered).to.be.above(50);
    });

    // Guards against streams that are cut when their endpoint pauses and the one that is asked instead refuses late.
    it("goes on with a stream whose endpoint pauses while another one refuses to resume it", async () => {
        const { lost, broken, answered } = await play(1, 5, ["half-close"], "silent");
        expect([...broken, ...lost]).to.deep.equal([]);
        expect(answered).to.be.above(50);
    });

    // Guards against streams that a planned stop cuts without an excuse, and against a process that stays behind a
    // confirmed configuration.
    it("answers streams that outlast the grace time as the rule asks, while several ingresses stop at once", async () => {
        const { lost, broken, answered } = await play(3, 12, ["half-close"], "long");
        expect([...broken, ...lost]).to.deep.equal([]);
        expect(answered).to.be.above(100);
    });
});
