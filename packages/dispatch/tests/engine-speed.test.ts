import { engineSpeedDefaults, EngineSpeedEstimate } from "@lentilramp/dispatch";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

describe("EngineSpeedEstimate", () => {
    const { chunkTokens, firstEventMs, roundTripMs, stepMs } = engineSpeedDefaults;

    /** Returns the time to the first event of an engine that prefills `tokensPerMs`, after a wait of `waitMs`. */
    const firstByteMs = (tokens: number, tokensPerMs: number, waitMs = 0): number =>
        roundTripMs + firstEventMs + tokens * (1 / tokensPerMs + stepMs / chunkTokens) + waitMs;

    /** Feeds samples of short and long prompts; a fifth of them was delayed by a queue, another fifth was cached. */
    function observeSamples(estimate: EngineSpeedEstimate, tokensPerMs: number, baseMs = 0, seed = 1): void {
        const random = new SeededRandom(seed);
        for (let i = 0; i < 80; i++) {
            const tokens = i % 2 === 0 ? random.nextInt(500) : 3_000 + random.nextInt(9_000);
            const draw = random.next();
            const readTokens = draw < 0.2 ? tokens / 10 : tokens;
            estimate.observe(tokens, firstByteMs(readTokens, tokensPerMs, baseMs + (draw > 0.8 ? 400 : 0)));
        }
    }

    // Engines with 55 tokens per millisecond were estimated to be three times as fast, so only a third of the replicas
    // that the load needed were ordered.
    it("does not overestimate slow engines when some samples include queueing delay", () => {
        const estimate = new EngineSpeedEstimate();
        expect(estimate.isMeasured).to.equal(false);
        observeSamples(estimate, 55);
        expect(estimate.isMeasured).to.equal(true);
        expect(estimate.speed.prefillTokensPerMs).to.be.within(45, 66);
    });

    // The lower quartile of the samples estimated engines with 157 tokens per millisecond at 284, because it consisted
    // of cached prompts.
    it("does not misestimate the prefill rate because of cached prompts or a slow network", () => {
        for (const baseMs of [0, 30]) {
            const estimate = new EngineSpeedEstimate();
            observeSamples(estimate, 157, baseMs, 2);
            expect(estimate.speed.prefillTokensPerMs).to.be.within(125, 190);
        }
    });

    // After a loss of all processes, each new process estimated the engines to be three times as fast as they were.
    it("uses the rate measured by the fleet until it has enough samples, so that a restart does not reset it", () => {
        const estimate = new EngineSpeedEstimate();
        estimate.setFallbackRate(55);
        expect(estimate.speed.prefillTokensPerMs).to.equal(55);
        expect(estimate.isMeasured).to.equal(false);
        observeSamples(estimate, 157);
        expect(estimate.speed.prefillTokensPerMs).to.be.within(125, 190);
        estimate.setFallbackRate(55);
        expect(estimate.speed.prefillTokensPerMs).to.be.within(125, 190);
    });

    it("estimates no prefill rate from short prompts alone, whose latency is mostly fixed overhead", () => {
        const estimate = new EngineSpeedEstimate();
        for (let i = 0; i < 60; i++) {
            estimate.observe(300, 400);
        }
        expect(estimate.speed).to.deep.equal(engineSpeedDefaults);
    });

    it("keeps the estimate within its bounds when endpoints report implausible latencies", () => {
        const estimate = new EngineSpeedEstimate();
        for (let i = 0; i < 60; i++) {
            estimate.observe(i % 2 === 0 ? 100 : 5_000, i % 3 === 0 ? 0 : 60_000);
        }
        expect(estimate.speed.prefillTokensPerMs).to.be.within(5, 2_000);
        observeSamples(estimate, 100);
        expect(estimate.speed.prefillTokensPerMs).to.be.within(80, 120);
    });
});
