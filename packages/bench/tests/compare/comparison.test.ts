import type { DayReport } from "@lentilramp/platform-bench";
import { expect } from "chai";
import { compare } from "../../src/compare/comparison.ts";
import { pairedDifference } from "../../src/compare/paired.ts";

function day(worth: number, change: Partial<DayReport> = {}): DayReport {
    return {
        worth,
        served: 0.9,
        refused: 0,
        failed: 0,
        late: 0,
        worstWindows: 0.5,
        worstKind: 0.5,
        worthByKind: { draft: worth },
        prices: { replicas: 0.1 },
        brokenRules: [],
        ...change,
    };
}

describe("pairedDifference", () => {
    // Two versions played on other seeds differed by 0.1 without any change; pairs cancel what the days have in common.
    it("finds a small steady gain among days that differ much", () => {
        const base = [0.1, 0.5, 0.3, 0.7, 0.2, 0.6];
        const { mean, low, high } = pairedDifference(base, base.map((worth, i) => worth + 0.02 + i * 0.001));
        expect(mean).to.be.closeTo(0.0225, 1e-9);
        expect(low).to.be.above(0);
        expect(high).to.be.below(0.03);
    });

    it("claims nothing where gains and losses balance", () => {
        const { low, high } = pairedDifference([0.3, 0.3, 0.3, 0.3], [0.4, 0.2, 0.35, 0.25]);
        expect(low).to.be.below(0);
        expect(high).to.be.above(0);
    });

    it("gives no interval for a single pair and refuses series that do not match", () => {
        expect(pairedDifference([0.1], [0.3]).low).to.equal(undefined);
        expect(() => pairedDifference([0.1, 0.2], [0.3])).to.throw("cannot be compared");
    });
});

describe("compare", () => {
    it("shows each day and all of them, with broken rules", () => {
        const { points } = compare([
            { day: "a", seed: 1, base: day(0.2), change: day(0.4) },
            { day: "b", seed: 1, base: day(0.6), change: day(0.6, { brokenRules: ["QUOTA"] }) },
        ], {});
        const figures = (variant: string, name: string) =>
            points.find(point => point.variant === variant && point.setting.day === name)?.figures;
        expect(figures("change", "b")).to.include({ worth: 0.6, brokenRules: 1 });
        expect(figures("base", "all days")).to.include({ worth: 0.4, "price of replicas": 0.1 });
        expect(figures("difference of worth", "all days")?.mean).to.be.closeTo(0.1, 1e-9);
    });
});
