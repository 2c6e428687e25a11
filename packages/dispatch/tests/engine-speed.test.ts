import { engineSpeedDefaults, EngineSpeedEstimate } from "@lentilramp/dispatch";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

describe("EngineSpeedEstimate", () => {
    const { chunkTokens, firstEventMs, roundTripMs, stepMs } = engineSpeedDefaults;

    /** Time to the first event at an engine that reads `tokensPerMs`, after `waitMs`. */
    const firstByte = (tokens: number, tokensPerMs: number, waitMs = 0): number =>
        roundTripMs + firstEventMs + tokens * (1 / tokensPerMs + stepMs / chunkTokens) + waitMs;

    /** Shows short prompts and long ones; a part of them waited, another part was read there before. */
    function show(estimate: EngineSpeedEstimate, tokensPerMs: number, baseMs = 0, seed = 1): void {
        const random = new SeededRandom(seed);
        for (let i = 0; i < 80; i++) {
            const tokens = i % 2 === 0 ? random.nextInt(500) : 3_000 + random.nextInt(9_000);
            const fate = random.next();
            const readTokens = fate < 0.2 ? tokens / 10 : tokens;
            estimate.observe(tokens, firstByte(readTokens, tokensPerMs, baseMs + (fate > 0.8 ? 400 : 0)));
        }
    }

    // Engines that read 55 tokens in a millisecond were taken for three times as fast, so that a third of the replicas
    // that the load needed were ordered.
    it("learns the speed of slower engines although some requests waited there", () => {
        const estimate = new EngineSpeedEstimate();
        expect(estimate.isMeasured).to.equal(false);
        show(estimate, 55);
        expect(estimate.isMeasured).to.equal(true);
        expect(estimate.speed.prefillTokensPerMs).to.be.within(45, 66);
    });

    // A lower quartile took engines that read 157 tokens for such that read 284: their prompts had been cached there.
    it("does not take prompts that were cached, or a slow way, for the speed of the engine", () => {
        for (const baseMs of [0, 30]) {
            const estimate = new EngineSpeedEstimate();
            show(estimate, 157, baseMs, 2);
            expect(estimate.speed.prefillTokensPerMs).to.be.within(125, 190);
        }
    });

    // After a loss of everything each process took the engines for three times as fast as they were.
    it("believes what the fleet has measured until it has measured enough itself", () => {
        const estimate = new EngineSpeedEstimate();
        estimate.setFallbackRate(55);
        expect(estimate.speed.prefillTokensPerMs).to.equal(55);
        expect(estimate.isMeasured).to.equal(false);
        show(estimate, 157);
        expect(estimate.speed.prefillTokensPerMs).to.be.within(125, 190);
        estimate.setFallbackRate(55);
        expect(estimate.speed.prefillTokensPerMs).to.be.within(125, 190);
    });

    it("learns nothing from short prompts alone, whose time is spent elsewhere", () => {
        const estimate = new EngineSpeedEstimate();
        for (let i = 0; i < 60; i++) {
            estimate.observe(300, 400);
        }
        expect(estimate.speed).to.deep.equal(engineSpeedDefaults);
    });

    it("stays within sane bounds, whatever the endpoints do", () => {
        const estimate = new EngineSpeedEstimate();
        for (let i = 0; i < 60; i++) {
            estimate.observe(i % 2 === 0 ? 100 : 5_000, i % 3 === 0 ? 0 : 60_000);
        }
        expect(estimate.speed.prefillTokensPerMs).to.be.within(5, 2_000);
        show(estimate, 100);
        expect(estimate.speed.prefillTokensPerMs).to.be.within(80, 120);
    });
});
