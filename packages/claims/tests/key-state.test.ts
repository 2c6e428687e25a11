import type { ClaimGeneration, RegisterView } from "@lentilramp/claims";
import {
    checkKeyWindow,
    CLOCK_TOLERANCE_MS,
    earliestFromIssueTime,
    ISSUE_TOLERANCE_MS,
    laterView,
    parseRequestKey,
    resolveKeyState,
    selectReplicas,
} from "@lentilramp/claims";
import { expect } from "chai";
import fc from "fast-check";
import { issued, keyAt, record } from "./support.ts";

const seed = 20_261_204;
const claimants = ["a", "b", "c"];
const held = fc.tuple(fc.constantFrom(...claimants), fc.boolean()).map<RegisterView>(([name, gaveUp]) => ({
    kind: "claimed",
    ...record(name),
    outcome: gaveUp ? { kind: "not-run" } : undefined,
}));
const view = fc.oneof(fc.constantFrom<RegisterView>(undefined, { kind: "empty" }, { kind: "sealed" }), held);

/** All final registers that one known register can still have. */
function futures(known: RegisterView): string[] {
    return known === undefined || known.kind === "empty"
        ? [...claimants, "new", "sealed"]
        : [known.kind === "claimed" ? known.claimant : "sealed"];
}

describe("resolveKeyState", () => {
    // Guards against a not-run that a claimant can still make untrue; compares with an enumeration of all futures.
    it("says not-run exactly when no live claimant can hold two of three registers", () => {
        fc.assert(
            fc.property(fc.array(view, { minLength: 3, maxLength: 3 }), views => {
                const dead = new Set(
                    views.flatMap(v => v?.kind === "claimed" && v.outcome !== undefined ? [v.claimant] : []),
                );
                const [first = [], second = [], third = []] = views.map(futures);
                const winnable = first.some(a =>
                    second.some(b =>
                        third.some(c =>
                            [...claimants, "new"].some(name =>
                                !dead.has(name) && [a, b, c].filter(holder => holder === name).length >= 2
                            )
                        )
                    )
                );
                expect(resolveKeyState(views, new Set()).kind === "not-run").to.equal(!winnable);
            }),
            { seed, numRuns: 2_000 },
        );
    });

    // Guards against a late reply that shows a register as empty again.
    it("keeps the later of two views in any order of arrival", () => {
        fc.assert(
            fc.property(held, later => {
                const views: RegisterView[] = [undefined, { kind: "empty" }, later];
                expect(views.reduce(laterView)).to.equal(later);
                expect(views.reverse().reduce(laterView)).to.equal(later);
            }),
            { seed, numRuns: 50 },
        );
    });
});

describe("selectReplicas", () => {
    const replicas = ["x", "y", "z"].flatMap(domain =>
        [1, 2, 3].map(n => ({ identity: `${domain}${n}`, address: `${domain}${n}`, failureDomain: domain }))
    );
    const old: ClaimGeneration = { generation: 1, fromIssueTime: 0, replicas };
    const select = (n: number, list: ClaimGeneration[], at = issued) =>
        selectReplicas(parseRequestKey(keyAt(at, n)).unwrap(), list).map(found => found.map(r => r.identity));

    // Guards against a key whose replicas change during its life, or that has two in one failure domain.
    it("keeps the replicas of a key when a generation follows, and takes one for each failure domain", () => {
        const next: ClaimGeneration = {
            generation: 2,
            fromIssueTime: issued + 1,
            replicas: replicas.filter(replica => replica.identity !== "x1"),
        };
        const counts = new Map<string, number>();
        for (let n = 0; n < 900; n++) {
            const before = select(n, [old]).unwrap();
            expect(new Set(before.map(name => name[0])).size).to.equal(3);
            expect(select(n, [next, old]).unwrap()).to.deep.equal(before);
            before.forEach(name => counts.set(name, (counts.get(name) ?? 0) + 1));
        }
        // Nine replicas share 900 keys of three replicas each; an uneven hash would overload one of them.
        counts.forEach(count => expect(count).to.be.within(200, 400));
        expect(select(0, [old, next], issued + 1).unwrap()).to.not.include("x1");
        expect(select(0, [next]).unwrapErr()).to.equal("no-generation");
        const twoDomains = { ...old, replicas: replicas.slice(0, 6) };
        expect(select(0, [twoDomains]).unwrapErr()).to.equal("too-few-domains");
    });

    // Guards against two entries that take different replicas for one key while a generation becomes known.
    it("gives the same replicas to an entry with the old configuration for any key that it accepts", () => {
        const commit = issued;
        const next = {
            ...old,
            generation: 2,
            fromIssueTime: earliestFromIssueTime(commit),
            replicas: replicas.slice(1),
        };
        const permitMs = 2_500;
        const times = fc.tuple(
            fc.integer({ min: -600_000, max: permitMs }),
            fc.integer({ min: -CLOCK_TOLERANCE_MS, max: CLOCK_TOLERANCE_MS }),
            fc.integer({ min: -600_000, max: ISSUE_TOLERANCE_MS }),
        );
        fc.assert(
            fc.property(times, ([sinceCommit, clockError, ahead]) => {
                const entryNow = commit + sinceCommit + clockError;
                const name = parseRequestKey(keyAt(entryNow + ahead)).unwrap();
                expect(checkKeyWindow(name, entryNow).isOk()).to.equal(true);
                expect(selectReplicas(name, [old])).to.deep.equal(selectReplicas(name, [old, next]));
            }),
            { seed, numRuns: 1_000 },
        );
    });
});
