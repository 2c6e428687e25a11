import { engineSpeedDefaults, EngineSpeedEstimate } from "@lentilramp/dispatch";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

describe("EngineSpeedEstimate", () => {
    const { firstEventMs, linkMs } = engineSpeedDefaults;

    /** Time to the first event at an engine that reads `tokensPerMs`, after `waitMs`. */
    const firstByte = (tokens: number, tokensPerMs: number, waitMs = 0): number =>
        linkMs + firstEventMs + tokens / tokensPerMs + waitMs;

    // Engines that read 55 tokens in a millisecond were taken for three times as fast, so that a third of the replicas
    // that the load needed were ordered.
    it("learns the speed of slower engines although some requests waited there", () => {
        const random = new SeededRandom(1);
        const estimate = new EngineSpeedEstimate();
        expect(estimate.measured).to.equal(false);
        for (let i = 0; i < 60; i++) {
            const tokens = 2_000 + random.nextInt(10_000);
            estimate.observe(tokens, firstByte(tokens, 55, random.next() < 0.5 ? random.next() * 300 : 0));
        }
        expect(estimate.measured).to.equal(true);
        expect(estimate.speed.prefillTokensPerMs).to.be.within(45, 62);
    });

    it("learns nothing from short prompts, whose time is mostly spent elsewhere", () => {
        const estimate = new EngineSpeedEstimate();
        for (let i = 0; i < 60; i++) {
            estimate.observe(300, 400);
        }
        expect(estimate.speed).to.deep.equal(engineSpeedDefaults);
    });

    it("stays within sane bounds, whatever the endpoints do", () => {
        const estimate = new EngineSpeedEstimate();
        for (let i = 0; i < 60; i++) {
            estimate.observe(5_000, i % 2 === 0 ? 0 : 60_000);
        }
        expect(estimate.speed.prefillTokensPerMs).to.be.within(5, 2_000);
        for (let i = 0; i < 60; i++) {
            estimate.observe(5_000, firstByte(5_000, 100));
        }
        expect(estimate.speed.prefillTokensPerMs).to.be.closeTo(100, 1);
    });
});
