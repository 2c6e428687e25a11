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
    // Guards against a change of the machine class at each small or short change of prices.
    it("changes the machine class only for a large saving and after the hold time", () => {
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

    // Guards against an instance that is given up before its replacement is live.
    it("gives up a costly instance only when its replacement is live", () => {
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

    // Guards against starts in a market that is known to refuse them.
    it("starts in the other market, or not at all, while one refuses", () => {
        expect(domainChanges(view({ canStart: market => market === "on-demand" })).starts).to.deep.equal(["on-demand"]);
        expect(domainChanges(view({ canStart: () => false })).starts).to.deep.equal([]);
    });
});
