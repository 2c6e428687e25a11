import { expect } from "chai";
import fc from "fast-check";
import { cheapestMix, type DomainLimits, type MixInput } from "../src/replica-mix.ts";

function domain(overrides: Partial<DomainLimits> = {}): DomainLimits {
    return {
        price: 1,
        minReplicas: 1,
        maxReplicas: 6,
        maxOnDemand: 6,
        minReclaimable: 0,
        maxReclaimable: 6,
        ...overrides,
    };
}

function mixOf(overrides: Partial<MixInput> = {}) {
    return cheapestMix({
        demand: { mean: 4, deviation: 1, coldMean: 4 },
        domains: [domain(), domain(), domain()],
        reclaimablePrice: 0.18,
        lossProbability: 0.05,
        ...overrides,
    });
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

describe("cheapestMix", () => {
    // A fleet sized for the mean of a bursty load served a quarter of the requests late without any fault.
    it("keeps a reserve above the expected demand for a burst or the loss of one domain", () => {
        const mix = mixOf();
        const counts = mix.map(({ reclaimable, onDemand }) => reclaimable + onDemand);
        expect(sum(counts) - Math.max(...counts)).to.be.at.least(5);
    });

    // Prompt caches are lost with their engines: the remaining ones then processed twice as many tokens per request.
    it("keeps a larger reserve where a loss of caches makes other engines process prompts again", () => {
        const total = (coldMean: number): number => {
            const mix = mixOf({ demand: { mean: 4, deviation: 1, coldMean } });
            return sum(mix.map(({ reclaimable, onDemand }) => reclaimable + onDemand));
        };
        expect(total(9)).to.be.above(total(4));
    });

    it("keeps its reserve in reclaimable replicas, and a smaller one where both markets cost the same", () => {
        const cheap = mixOf();
        expect(sum(cheap.map(({ onDemand }) => onDemand))).to.equal(0);
        const samePrice = mixOf({ reclaimablePrice: 1 });
        const total = (mix: typeof cheap) => sum(mix.map(({ reclaimable, onDemand }) => reclaimable + onDemand));
        expect(total(samePrice)).to.be.below(total(cheap));
        expect(total(samePrice)).to.be.at.least(5);
    });

    it("orders on-demand replicas when losses are frequent, before the last domain loses its reclaimable ones", () => {
        const [a, b] = [domain({ maxReclaimable: 0 }), domain({ maxReclaimable: 0 })];
        const mix = mixOf({ domains: [a, b, domain()], lossProbability: 0.15 });
        expect(sum(mix.map(({ onDemand }) => onDemand))).to.be.at.least(4);
    });

    it("places on-demand replicas in the cheapest domain", () => {
        const domains = [1.2, 0.85, 1].map(price => domain({ price, maxReclaimable: 0, minReplicas: 0 }));
        const counts = mixOf({ domains }).map(({ onDemand }) => onDemand);
        expect(counts[1]).to.be.at.least(counts[2] ?? 0);
        expect(counts[2]).to.be.at.least(counts[0] ?? 0);
    });

    it("stays within the limits of each domain for any demand and prices", () => {
        const anyDomain = fc.record({
            price: fc.double({ min: 0.1, max: 3, noNaN: true }),
            minReplicas: fc.integer({ min: 0, max: 2 }),
            maxReplicas: fc.integer({ min: 2, max: 8 }),
            reclaimable: fc.boolean(),
        }).map(({ reclaimable, ...range }) =>
            domain({ ...range, maxOnDemand: range.maxReplicas, maxReclaimable: reclaimable ? range.maxReplicas : 0 })
        );
        fc.assert(
            fc.property(
                fc.array(anyDomain, { minLength: 1, maxLength: 5 }),
                fc.double({ min: 0, max: 30, noNaN: true }),
                fc.double({ min: 0, max: 1, noNaN: true }),
                (domains, mean, lossProbability) => {
                    const mix = mixOf({
                        domains,
                        demand: { mean, deviation: mean / 4, coldMean: mean * 2 },
                        lossProbability,
                    });
                    for (const [i, range] of domains.entries()) {
                        const { onDemand = -1, reclaimable = -1 } = mix[i] ?? {};
                        expect(onDemand).to.be.within(0, range.maxOnDemand);
                        expect(reclaimable).to.be.within(0, range.maxReclaimable);
                        expect(onDemand + reclaimable).to.be.within(range.minReplicas, range.maxReplicas);
                    }
                },
            ),
            { seed: 1, numRuns: 60 },
        );
    });
});
