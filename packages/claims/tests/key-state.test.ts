import type { ClaimGeneration, RegisterView } from "@lentilramp/claims";
import {
    checkKeyWindow,
    CLOCK_TOLERANCE_MS,
    earliestFromIssueTime,
    ISSUE_TOLERANCE_MS,
    newerView,
    parseRequestKey,
    resolveKeyState,
    selectReplicas,
} from "@lentilramp/claims";
import { expect } from "chai";
import fc from "fast-check";
import { claimRecord, issuedAt, keyAt } from "./support.ts";

const seed = 20_261_204;
const claimants = ["a", "b", "c"];
const claimedView = fc.tuple(fc.constantFrom(...claimants), fc.boolean()).map<RegisterView>(([claimant, withdrew]) => ({
    kind: "claimed",
    ...claimRecord(claimant),
    outcome: withdrew ? { kind: "not-run" } : undefined,
}));
const anyView = fc.oneof(fc.constantFrom<RegisterView>(undefined, { kind: "empty" }, { kind: "sealed" }), claimedView);

/** Returns the claimants that a register may finally hold, with "sealed" for none and "new" for an unknown claimant. */
function possibleFinalHolders(view: RegisterView): string[] {
    return view === undefined || view.kind === "empty"
        ? [...claimants, "new", "sealed"]
        : [view.kind === "claimed" ? view.claimant : "sealed"];
}

describe("resolveKeyState", () => {
    // Guards against not-run for a call that a claimant may still dispatch; compares with all possible final registers.
    it("returns not-run exactly when no claimant that may dispatch can hold two of three registers", () => {
        fc.assert(
            fc.property(fc.array(anyView, { minLength: 3, maxLength: 3 }), views => {
                const withdrawn = new Set(
                    views.flatMap(v => v?.kind === "claimed" && v.outcome !== undefined ? [v.claimant] : []),
                );
                const [first = [], second = [], third = []] = views.map(possibleFinalHolders);
                const canReachQuorum = first.some(a =>
                    second.some(b =>
                        third.some(c =>
                            [...claimants, "new"].some(claimant =>
                                !withdrawn.has(claimant) && [a, b, c].filter(holder => holder === claimant).length >= 2
                            )
                        )
                    )
                );
                expect(resolveKeyState(views, new Set()).kind === "not-run").to.equal(!canReachQuorum);
            }),
            { seed, numRuns: 2_000 },
        );
    });

    it("does not return to an older view of a register when its reply arrives late", () => {
        fc.assert(
            fc.property(claimedView, later => {
                const views: RegisterView[] = [undefined, { kind: "empty" }, later];
                expect(views.reduce(newerView)).to.equal(later);
                expect(views.reverse().reduce(newerView)).to.equal(later);
            }),
            { seed, numRuns: 50 },
        );
    });
});

describe("selectReplicas", () => {
    const replicas = ["x", "y", "z"].flatMap(domain =>
        [1, 2, 3].map(n => ({ identity: `${domain}${n}`, address: `${domain}${n}`, failureDomain: domain }))
    );
    const current: ClaimGeneration = { generation: 1, fromIssueTime: 0, replicas };
    const select = (sequence: number, generations: ClaimGeneration[], issueTime = issuedAt) =>
        selectReplicas(parseRequestKey(keyAt(issueTime, sequence)).unwrap(), generations).map(found =>
            found.map(r => r.identity)
        );

    it("neither changes the replicas of a key in a new generation nor selects two in a failure domain", () => {
        const next: ClaimGeneration = {
            generation: 2,
            fromIssueTime: issuedAt + 1,
            replicas: replicas.filter(replica => replica.identity !== "x1"),
        };
        const counts = new Map<string, number>();
        for (let n = 0; n < 900; n++) {
            const selected = select(n, [current]).unwrap();
            expect(new Set(selected.map(identity => identity[0])).size).to.equal(3);
            expect(select(n, [next, current]).unwrap()).to.deep.equal(selected);
            selected.forEach(identity => counts.set(identity, (counts.get(identity) ?? 0) + 1));
        }
        // 900 keys with three replicas each are spread over nine replicas; an uneven hash would overload one of them.
        counts.forEach(count => expect(count).to.be.within(200, 400));
        expect(select(0, [current, next], issuedAt + 1).unwrap()).to.not.include("x1");
        expect(select(0, [next]).unwrapErr()).to.equal("no-generation");
        const twoDomains = { ...current, replicas: replicas.slice(0, 6) };
        expect(select(0, [twoDomains]).unwrapErr()).to.equal("too-few-domains");
    });

    it("does not select other replicas for a key at an entry that has not received a new generation yet", () => {
        const commitTime = issuedAt;
        const next = {
            ...current,
            generation: 2,
            fromIssueTime: earliestFromIssueTime(commitTime),
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
                const entryNow = commitTime + sinceCommit + clockError;
                const requestKey = parseRequestKey(keyAt(entryNow + ahead)).unwrap();
                expect(checkKeyWindow(requestKey, entryNow).isOk()).to.equal(true);
                expect(selectReplicas(requestKey, [current])).to.deep.equal(
                    selectReplicas(requestKey, [current, next]),
                );
            }),
            { seed, numRuns: 1_000 },
        );
    });
});
