import {
    describeEntry,
    HashSet,
    hashText,
    History,
    InvariantViolation,
    joinHashes,
    models,
    mutations,
} from "@lentilramp/model-check";
import { expect } from "chai";
import { readdirSync, readFileSync } from "node:fs";

const limits = { maxStates: 25_000, maxClaimStates: 25_000 };
// Their shortest traces need more states than a test should visit; `--mutate` finds them.
const deep = ["claim-first-record-wins", "claim-names-identity"];

describe("model checker", () => {
    // Guards against invariants or models too weak to notice that a rule of the protocol is missing.
    for (const { name, run, control } of mutations.filter(mutation => !deep.includes(mutation.name))) {
        it(`finds a violation without ${name}, and none with it in as many states`, () => {
            const { violation, states } = run.run(limits);
            expect(violation?.trace.length).to.be.above(1);
            expect(control.run({ maxStates: states, maxClaimStates: states }).violation).to.equal(undefined);
        });
    }

    // Guards against counting the same states twice in the total of the models.
    it("names and searches each model once", () => {
        expect(new Set(models.map(model => model.key)).size).to.equal(models.length);
    });

    // Guards against a rule that can be turned off but that no mutation covers.
    it("has a mutation for each rule that the agreement code consults", () => {
        const folder = new URL("../../agreement/src/", import.meta.url);
        const source = readdirSync(folder).map(name => readFileSync(new URL(name, folder), "utf8")).join("\n");
        const rules = [...source.matchAll(/enforces\("([^"]+)"\)/g)].map(match => match[1] as string);
        const covered = mutations.map(({ name }) => name as string);
        // Elections without a pre-vote are a superset of those with it, so that no invariant depends on it.
        expect(rules.filter(rule => rule !== "pre-vote" && !covered.includes(rule))).to.deep.equal([]);
    });
});

describe("HashSet", () => {
    // Guards against a hash that maps different states to one, which would hide states from the search.
    it("keeps similar texts apart", () => {
        const set = new HashSet();
        for (let i = 0; i < 300_000; i++) {
            set.add(joinHashes([hashText(`{"term":${i % 7},"index":${i}}`), hashText(`${i >> 3}`)]));
        }
        expect(set.size).to.equal(300_000);
        expect(set.add(joinHashes([hashText('{"term":0,"index":0}'), hashText("0")]))).to.equal(false);
    });
});

describe("History", () => {
    // Guards against a simulation that accepts two different entries at one index.
    it("refuses a changed entry", () => {
        const history = new History();
        const entry = (term: number) => ({ index: 1, term, content: { kind: "no-op" } as const });
        history.recordApply("a", entry(1), "");
        expect(describeEntry(entry(2))).to.equal("2:no-op");
        expect(() => history.recordApply("b", entry(2), "")).to.throw(InvariantViolation);
    });
});
