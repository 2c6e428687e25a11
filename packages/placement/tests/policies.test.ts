import {
    CheapestClass,
    domainChanges,
    type DomainState,
    LinearCapacity,
    placementOptions,
} from "@lentilramp/placement";
import { expect } from "chai";
import { instanceOf } from "./fixtures.ts";

const hourMs = 3_600_000;

describe("placement policies", () => {
    it("does not change the machine class after a small or short change of prices", () => {
        const step = { baseMs: 20, perRequestMs: 1 };
        const classes = new CheapestClass(placementOptions.parse({}), new LinearCapacity({ x: step, y: step }));
        const choose = (priceOfY: number, now: number) => {
            const common = { failureDomain: "a", market: "reclaimable" as const };
            const prices = [
                { ...common, machineClass: "x", pricePerHour: 10 },
                { ...common, machineClass: "y", pricePerHour: priceOfY },
            ];
            return classes.choose("a", "reclaimable", prices, 50, now)?.machineClass;
        };
        expect(choose(11, 0)).to.equal("x");
        expect(choose(5, 1_000)).to.equal("x");
        expect(choose(9, hourMs)).to.equal("x");
        expect(choose(5, hourMs)).to.equal("y");
    });

    const view = (change: Partial<DomainState>): DomainState => ({
        target: { failureDomain: "a", instances: 1, onDemandInstances: 0 },
        serving: [],
        inFallback: false,
        canStart: () => true,
        pricePerSlot: instance => instance.market === "on-demand" ? 1 : 0.3,
        ...change,
    });

    it("does not release a costly instance before its replacement is live", () => {
        const costly = instanceOf("old", { market: "on-demand" });
        const replacement = instanceOf("new", { state: "starting" });
        expect(domainChanges(view({ serving: [costly] }))).to.deep.equal({
            starts: ["reclaimable"],
            surplus: undefined,
        });
        expect(domainChanges(view({ serving: [costly, replacement] })).surplus).to.equal(undefined);
        const live = { ...replacement, state: "live" as const };
        expect(domainChanges(view({ serving: [live, costly] })).surplus).to.equal(costly);
    });

    it("does not start instances in a market that refuses starts", () => {
        expect(domainChanges(view({ canStart: market => market === "on-demand" })).starts).to.deep.equal(["on-demand"]);
        expect(domainChanges(view({ canStart: () => false })).starts).to.deep.equal([]);
    });
});
