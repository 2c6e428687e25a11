import { DemandForecast } from "@lentilramp/fleet";
import { expect } from "chai";
import { ReclaimRisk } from "../src/reclaim-risk.ts";

const capacity = { slots: 10, prefillPerSecond: 50_000 };

/** Returns a forecast after samples of prompt tokens per second, taken every 250 ms. */
function forecastFor(tokens: readonly number[]): DemandForecast {
    const forecast = new DemandForecast();
    tokens.forEach((prefillPerSecond, i) =>
        forecast.observe({ prefillPerSecond, promptPerSecond: prefillPerSecond, occupiedSlots: 1 }, i * 250)
    );
    return forecast;
}

describe("DemandForecast", () => {
    it("returns no estimate before the first demand", () => {
        const forecast = new DemandForecast();
        forecast.observe({ prefillPerSecond: 0, promptPerSecond: 0, occupiedSlots: 0 }, 0);
        expect(forecast.estimate(capacity)).to.equal(undefined);
    });

    // Prompts of very different lengths make the load bursty, which needs more engines than an even load of equal mean.
    it("estimates a larger deviation for a bursty load than for an even one with the same mean", () => {
        const even = forecastFor(Array.from({ length: 60 }, () => 100_000)).estimate(capacity);
        const clumped = forecastFor([...Array(60).keys()].map(i => i % 12 < 3 ? 400_000 : 0)).estimate(capacity);
        // At full utilization two engines would suffice.
        expect(even?.mean).to.be.within(2.4, 4);
        expect(clumped?.deviation).to.be.above(1.2 * (even?.deviation ?? Infinity));
    });

    it("follows a rise at once and keeps capacity for the next peak during a trough", () => {
        const high = forecastFor([...Array(40).keys()].map(i => i < 20 ? 20_000 : 200_000)).estimate(capacity);
        expect(high?.mean).to.be.above(4);
        const low = forecastFor([...Array(40).keys()].map(i => i < 20 ? 200_000 : 20_000)).estimate(capacity);
        expect((low?.mean ?? 0) + (low?.deviation ?? 0)).to.be.above(4);
    });
});

describe("ReclaimRisk", () => {
    // Losses are correlated: in one case two domains lost their replicas within 1.5 s and the third 4.5 s later.
    it("raises the probability of a third loss after two in short succession", () => {
        const risk = new ReclaimRisk();
        risk.advance(0);
        const before = risk.probabilityWithin(6_000, 3, 20_000);
        risk.recordLoss(20_000);
        risk.recordLoss(21_500);
        expect(risk.probabilityWithin(6_000, 3, 21_500)).to.be.above(2 * before);
    });

    it("discards old losses and returns a lower probability after a long calm than at the start", () => {
        const risk = new ReclaimRisk();
        risk.advance(0);
        const start = risk.probabilityWithin(6_000, 3, 0);
        risk.recordLoss(1_000);
        risk.advance(100_000);
        expect(risk.probabilityWithin(6_000, 3, 100_000)).to.be.below(start);
        expect(risk.probabilityWithin(6_000, 3, 100_000)).to.be.above(0);
    });
});
