import { chooseSubset } from "@lentilramp/routing";
import { expect } from "chai";

const domains = ["a", "b", "c"];
const endpoints = Array.from(Array(600).keys(), i => ({ id: `e${i}`, failureDomain: domains[i % 3] ?? "" }));

describe("chooseSubset", () => {
    it("keeps all endpoints of a small group", () => {
        expect(chooseSubset("n1", "a", endpoints.slice(0, 12))).to.have.length(12);
    });

    // Guards against a full mesh, and against an entry that is left without endpoints by the loss of its domain.
    it("bounds the endpoints of an entry and keeps some outside its domain", () => {
        const subset = chooseSubset("n1", "a", endpoints);
        expect(subset.filter(endpoint => endpoint.failureDomain === "a")).to.have.length(32);
        expect(subset.filter(endpoint => endpoint.failureDomain !== "a")).to.have.length(16);
    });

    // Guards against endpoints that no entry uses, or that many more entries use than others.
    it("spreads entries over the endpoints", () => {
        const uses = new Map<string, number>();
        for (let n = 0; n < 300; n++) {
            for (const { id } of chooseSubset(`n${n}`, domains[n % 3] ?? "", endpoints)) {
                uses.set(id, (uses.get(id) ?? 0) + 1);
            }
        }
        const mean = 300 * 48 / endpoints.length;
        expect(uses.size).to.equal(endpoints.length);
        expect(Math.max(...uses.values())).to.be.lessThan(2.5 * mean);
    });

    // Guards against connections that are all replaced when one endpoint leaves.
    it("changes one choice when a chosen endpoint leaves", () => {
        const before = chooseSubset("n1", "a", endpoints).map(endpoint => endpoint.id);
        const after = chooseSubset("n1", "a", endpoints.filter(endpoint => endpoint.id !== before[0])).map(endpoint =>
            endpoint.id
        );
        expect(after.filter(id => !before.includes(id))).to.have.length(1);
    });
});
