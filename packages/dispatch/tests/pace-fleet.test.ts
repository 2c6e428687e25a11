import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { type PaceFleetAnswer, type PaceFleetOptions, runPaceFleet } from "./pace-fleet.ts";

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Ratio of the mean prediction to the mean time of answers. */
function bias(answers: readonly PaceFleetAnswer[]): number {
    return mean(answers.map(({ predictedMs }) => predictedMs)) / mean(answers.map(({ measuredMs }) => measuredMs));
}

const plainService: PaceFleetOptions = {
    seed: 1,
    deciders: 58,
    endpoints: 3,
    slots: 6,
    requestsPerSecond: 90,
    delayMs: 40,
    serviceMs: () => 80,
    statedPace: () => 100,
    untilMs: 9_000,
};
/** Instant from which answers count; the ingresses have had time for their first estimates. */
const settledMs = 3_000;

function settled(options: PaceFleetOptions): PaceFleetAnswer[] {
    return runPaceFleet(options).filter(({ at }) => at >= settledMs);
}

describe("Ingresses before endpoints that state their pace", () => {
    // Guards against a slow endpoint that gets as many requests as the others. By its capacity it would get a seventh.
    it("send an endpoint that is three times slower less than half of an even share", () => {
        for (const seed of [1, 2, 3]) {
            const answers = settled({
                ...plainService,
                seed,
                deciders: 6,
                requestsPerSecond: 70,
                serviceMs: e => e === 2 ? 240 : 80,
            });
            const share = answers.filter(({ endpoint }) => endpoint === 2).length / answers.length;
            expect(share, `seed ${seed}`).to.be.below(1 / 6);
        }
    });

    // Guards against predictions that are too low for the service as a whole: late answers instead of refusals.
    it("predict times that are right on average, within 15%, at rest and under paces that jump", () => {
        for (const seed of [1, 2, 3]) {
            for (const paces of [() => 1, jumpingPaces(seed, 8)]) {
                const answers = settled({
                    ...plainService,
                    seed,
                    endpoints: 8,
                    slots: 32,
                    requestsPerSecond: 1_000,
                    untilMs: 6_000,
                    serviceMs: (e, now) => 80 * paces(e, now),
                    statedPace: (e, now) => Math.round(100 * paces(e, now)),
                });
                expect(bias(answers), `seed ${seed}`).to.be.within(0.85, 1.15);
            }
        }
    });

    it("predict times that are right on average, within 25%, two seconds after all endpoints have become slower", () => {
        for (const seed of [1, 2, 3]) {
            const answers = runPaceFleet({
                ...plainService,
                seed,
                endpoints: 8,
                slots: 32,
                requestsPerSecond: 600,
                untilMs: 8_000,
                serviceMs: (...[, now]) => now < 4_000 ? 80 : 200,
            });
            const during = answers.filter(({ at }) => at >= 6_000 && at < 7_500);
            expect(bias(during), `seed ${seed}`).to.be.within(0.75, 1.25);
        }
    });

    /*
     * Guards against all ingresses that send to the endpoint that looked best 250 ms ago. The bound is that of the power of
     * two choices, by which the best endpoint gets two of n parts, and three standard deviations of random arrivals.
     */
    for (
        const [name, change] of [
            ["3 endpoints of 6 slots", {}],
            ["8 endpoints of 32 slots", { endpoints: 8, slots: 32, requestsPerSecond: 1_200 }],
        ] as const
    ) {
        it(`do not swing between ${name} whose paces jump 20 times a second, with a delay of 250 ms`, () => {
            for (const seed of [1, 2, 3]) {
                const options = { ...plainService, ...change, seed, delayMs: 250 };
                const paces = jumpingPaces(seed, options.endpoints);
                const answers = settled({
                    ...options,
                    serviceMs: (e, now) => 80 * paces(e, now),
                    statedPace: (e, now) => Math.round(100 * paces(e, now)),
                });
                const windowMs = 500;
                const bestShare = 2 / options.endpoints;
                for (let from = settledMs; from + windowMs <= options.untilMs; from += windowMs) {
                    const inWindow = answers.filter(({ at }) => at >= from && at < from + windowMs);
                    const noise = 3 * Math.sqrt(bestShare * (1 - bestShare) / inWindow.length);
                    for (let e = 0; e < options.endpoints; e++) {
                        const share = inWindow.filter(({ endpoint }) => endpoint === e).length / inWindow.length;
                        expect(share, `seed ${seed}, ${from} ms, endpoint ${e}`).to.be.below(bestShare + noise);
                    }
                }
            }
        });
    }

    // Guards against a choice among a part of the endpoints that fills some of them while others are free.
    it("are answered no later when each considers a part of 150 endpoints, near their capacity", () => {
        for (const seed of [1]) {
            for (const statedPace of [() => 100, () => undefined]) {
                const meanMs = (maxWholeChoice: number): number =>
                    mean(
                        settled({
                            ...plainService,
                            seed,
                            deciders: 20,
                            endpoints: 150,
                            slots: 4,
                            requestsPerSecond: 150 * 4 / 0.8 * 0.9,
                            serviceMs: () => 800,
                            statedPace,
                            untilMs: 6_000,
                            dispatch: { maxWholeChoice },
                        }).map(({ measuredMs }) => measuredMs),
                    );
                expect(meanMs(64) / meanMs(Infinity), `seed ${seed}`).to.be.below(1.05);
            }
        }
    });
});

/** Returns factors from 0.6 to 2 of each endpoint that change each 50 ms. */
function jumpingPaces(seed: number, endpoints: number): (endpoint: number, now: number) => number {
    const random = new SeededRandom(seed + 500);
    const steps = Array.from({ length: 256 * endpoints }, () => 0.6 + 1.4 * random.next());
    return (endpoint, now) => steps[Math.floor(now / 50) % 256 * endpoints + endpoint] ?? 1;
}
