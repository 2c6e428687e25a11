import { chooseSubset } from "@lentilramp/routing";
import { expect } from "chai";

const domains = ["a", "b", "c"];
const endpoints = Array.from(Array(600).keys(), i => ({ id: `e${i}`, failureDomain: domains[i % 3] ?? "" }));

describe("chooseSubset", () => {
    it("does not drop endpoints of a group below the limits", () => {
        expect(chooseSubset("n1", "a", endpoints.slice(0, 12))).to.have.length(12);
    });

    // A full mesh needs too many connections; an entry with local endpoints only has none left when its domain is lost.
    it("limits the endpoints of an entry and includes some outside its failure domain", () => {
        const subset = chooseSubset("n1", "a", endpoints);
        expect(subset.filter(endpoint => endpoint.failureDomain === "a")).to.have.length(32);
        expect(subset.filter(endpoint => endpoint.failureDomain !== "a")).to.have.length(16);
    });

    it("does not leave an endpoint unused or used by far more entries than others", () => {
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

    it("does not replace more than one connection when a selected endpoint is removed", () => {
        const before = chooseSubset("n1", "a", endpoints).map(endpoint => endpoint.id);
        const after = chooseSubset("n1", "a", endpoints.filter(endpoint => endpoint.id !== before[0])).map(endpoint =>
            endpoint.id
        );
        expect(after.filter(id => !before.includes(id))).to.have.length(1);
    });
});
