import { type StewardCommand, StewardState } from "@lentilramp/steward";
import { expect } from "chai";

function apply(state: StewardState, command: StewardCommand, index: number) {
    return state.apply(JSON.stringify(command), index);
}

describe("StewardState", () => {
    const create = (): StewardState => new StewardState(() => undefined, () => undefined);
    const catalog = (version: number): StewardCommand => ({ type: "catalog", version, text: `text ${version}` });

    it("keeps the catalog with the highest version for any order of arrival", () => {
        const state = create();
        [3, 9, 5].forEach((version, i) => apply(state, catalog(version), i + 1));
        expect(state.catalog).to.deep.equal({ version: 9, text: "text 9" });
        expect(apply(state, { type: "catalog", version: 9, text: "other" }, 4).version).to.equal(9);
        expect(state.catalog?.text).to.equal("text 9");
    });

    // Guards against a speed that is no number for a service whose name is a property of all objects.
    it("knows no speed of a service that was not recorded, whatever its name", () => {
        const state = create();
        expect(state.engineRates.constructor).to.equal(undefined);
        apply(state, { type: "engine-rate", service: "constructor", tokensPerMs: 55 }, 1);
        expect(JSON.stringify(state.engineRates)).to.equal(`{"constructor":55}`);
    });

    it("keeps the first report of a window, so that a new leader repeats it exactly", () => {
        const state = create();
        apply(state, { type: "usage", report: { window: 7, counts: { w: 3 } } }, 1);
        const { report } = apply(state, { type: "usage", report: { window: 7, counts: { w: 4 } } }, 2);
        expect(report).to.deep.equal({ window: 7, counts: { w: 3 } });
    });

    // A returning leader read the holder before the entries of the leader in between were applied. It took itself for
    // the holder and would have acted at once: A, B, A within the lease.
    it("returns the holder when the entry is applied, not when it was proposed", () => {
        const state = create();
        apply(state, { type: "office", holder: "a" }, 1);
        apply(state, { type: "office", holder: "b" }, 5);
        expect(apply(state, { type: "office", holder: "a" }, 9)).to.include({ fence: 9, previousHolder: "b" });
    });

    it("records earlier holders across snapshots, and assumes one where an older state has no record", () => {
        const state = create();
        expect(apply(state, { type: "office", holder: "a" }, 1).heldBefore).to.equal(false);
        const restored = create();
        restored.restore(state.snapshot());
        expect(apply(restored, { type: "office", holder: "b" }, 2).heldBefore).to.equal(false);
        expect(apply(restored, { type: "office", holder: "a" }, 3).heldBefore).to.equal(true);
        const older = create();
        older.restore(JSON.stringify({ version: 1, text: "t", reports: [], members: 2 }));
        expect(apply(older, { type: "office", holder: "c" }, 4).heldBefore).to.equal(true);
    });

    it("restores the whole state from a snapshot", () => {
        const state = create();
        apply(state, catalog(4), 1);
        apply(state, { type: "office", holder: "a" }, 2);
        apply(state, { type: "members", count: 8 }, 3);
        apply(state, { type: "engine-rate", service: "m", tokensPerMs: 55 }, 4);
        const restored = create();
        restored.restore(state.snapshot());
        expect(JSON.parse(restored.snapshot())).to.deep.equal(JSON.parse(state.snapshot()));
        expect(restored.ingressCount).to.equal(8);
        expect(restored.engineRates).to.deep.equal({ m: 55 });
    });

    // Guards against a new leader to which several versions seem to be one, and against a state of the earlier software.
    it("keeps the versions of services across a snapshot, and knows none in a state without them", () => {
        const history = { since: 5, services: { app: { listed: ["v2"], left: { v1: 9 } } } };
        const state = create();
        apply(state, { type: "versions", history }, 1);
        const restored = create();
        restored.restore(state.snapshot());
        expect(restored.versions).to.deep.equal(history);
        const earlier = JSON.parse(state.snapshot()) as Record<string, unknown>;
        delete earlier.versions;
        restored.restore(JSON.stringify(earlier));
        expect(restored.versions).to.equal(undefined);
    });

    // Guards against an order that is lost with the log behind a snapshot, and against a state of the earlier software.
    it("keeps roll-outs across a snapshot, and knows none in a state without them", () => {
        const state = create();
        const order: StewardCommand = {
            type: "rollout-order",
            service: "app",
            target: "v2",
            orderedAt: 1_000,
            deadline: 61_000,
            listed: ["v1"],
            repeatsSince: -4_000,
        };
        expect(apply(state, order, 1).order).to.deep.equal({ kind: "accepted", repeated: false });
        expect(apply(state, { ...order, target: "v3" }, 2).order).to.deep.equal({ kind: "conflict", target: "v2" });
        apply(state, { type: "rollout-progress", service: "app", orderedAt: 1_000, at: 2_000, change: { step: 1 } }, 3);
        const restored = create();
        restored.restore(state.snapshot());
        expect(restored.rollouts).to.deep.equal(state.rollouts);
        expect(restored.rollouts.services.app).to.include({ state: "running", step: 1, deadline: 61_000 });
        const earlier = JSON.parse(state.snapshot()) as Record<string, unknown>;
        delete earlier.rollouts;
        restored.restore(JSON.stringify(earlier));
        expect(restored.rollouts).to.deep.equal({ revision: 0, services: {} });
    });
});
