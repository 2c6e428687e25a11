import { expect } from "chai";
import type { DeadlyRequest, RepeatingFleetOptions } from "./repeating-fleet-options.ts";
import { RepeatingFleet } from "./repeating-fleet.ts";

const plain: DeadlyRequest = { service: "plain", parts: [], copies: 1, everyMs: 2_000, repeatable: true };
const prompt: DeadlyRequest = { ...plain, service: "model", parts: ["system", "d7"], copies: 2 };

/** Requests that crash endpoints, among sound ones that share their parts or wait in the same crashes. */
const cases: Record<string, Omit<RepeatingFleetOptions, "ingresses" | "seed">> = {
    "one without a prompt that comes again after seconds": { deadly: [plain] },
    "one that may run only once, four at a time": {
        deadly: [{ ...plain, copies: 4, everyMs: 1_500, repeatable: false }],
    },
    "two without prompts at three endpoints": { deadly: [plain, { ...plain, copies: 2 }] },
    "one with a prompt, four at a time": { deadly: [{ ...prompt, copies: 4, everyMs: 1_500 }] },
    "four with prompts that share parts": {
        deadly: [1, 2, 3, 4].map(i => ({
            ...prompt,
            parts: ["system", i < 3 ? "d7" : "d9"],
            copies: i,
            everyMs: 1_000 * i,
        })),
    },
    "one beside a deadly part": { deadly: [prompt], deadlyParts: ["bad"] },
    "two deadly parts": { deadly: [], deadlyParts: ["bad", "worse"] },
    "outages of failure domains only": { deadly: [], outages: [3_000, 5_000, 7_000, 9_000, 11_000] },
    "outages of a whole service only": { deadly: [], blackouts: [3_000, 9_000, 15_000] },
    "two beside outages": { deadly: [plain, prompt], outages: [3_000, 5_000, 7_000, 9_000, 11_000] },
    "two over restarts and a new leader": {
        deadly: [{ ...plain, copies: 2, everyMs: 900 }, prompt],
        restarts: true,
    },
};

describe("A fleet that learns which requests crash endpoints", () => {
    for (const ingresses of [3, 8, 64]) {
        for (const [name, options] of Object.entries(cases)) {
            it(`sends at most three late and refuses no sound one: ${name}, ${ingresses} ingresses`, () => {
                for (const seed of [1, 2, 3]) {
                    const result = new RepeatingFleet({ ...options, ingresses, seed }).play();
                    const late = [
                        ...result.deadly.map(({ sentAfterBound }) => sentAfterBound),
                        ...Object.values(result.partSentAfterBound),
                    ];
                    expect(Math.max(0, ...late)).to.be.at.most(3);
                    expect(
                        result.deadly.every(({ crashes, blockedAfterMs }) =>
                            crashes < 3 || blockedAfterMs !== undefined
                        ),
                    ).to.equal(true);
                    expect(result.blockedSound).to.deep.equal([]);
                    expect(result.refusedSound).to.equal(0);
                    expect(result.blockedParts.sort()).to.deep.equal([...options.deadlyParts ?? []]);
                }
            });
        }

        // Guards against verdicts on sound requests that come again in the crashes of several others.
        it(`refuses no sound request while three crash the only three endpoints, ${ingresses} ingresses`, () => {
            for (const seed of [1, 2, 3]) {
                const deadly = [plain, { ...plain, copies: 2 }, { ...plain, everyMs: 700, repeatable: false }];
                const result = new RepeatingFleet({ deadly, ingresses, seed }).play();
                expect(result.blockedSound).to.deep.equal([]);
                expect(result.refusedSound).to.equal(0);
                expect(result.deadly.map(({ blockedAfterMs }) => blockedAfterMs)).to.not.include(undefined);
            }
        });

        // Guards against a request that had been answered before, so that it is the last to be accused.
        it(`learns that a popular request has begun to crash endpoints, ${ingresses} ingresses`, () => {
            for (const seed of [1, 2, 3]) {
                const result = new RepeatingFleet({ deadly: [], sharedDeadlyFrom: 4_000, ingresses, seed }).play();
                expect(result.sharedBlockedAt).to.not.equal(undefined);
                expect(result.blockedSound).to.deep.equal([]);
            }
        });
    }

    // Guards against several requests that hide one another when each of their repeats meets the crashes of the others.
    it("sends at most three late while three crash the only three endpoints, 3, 8 and 64 ingresses", () => {
        const deadly = [plain, { ...plain, copies: 2 }, { ...plain, everyMs: 700, repeatable: false }];
        const late = [3, 8, 64].flatMap(ingresses =>
            [1, 2, 3].flatMap(seed =>
                new RepeatingFleet({ deadly, ingresses, seed }).play().deadly.map(outcome => outcome.sentAfterBound)
            )
        );
        expect(Math.max(...late)).to.be.at.most(3);
    });
});
