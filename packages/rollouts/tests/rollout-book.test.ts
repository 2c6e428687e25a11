import {
    applyOrder,
    applyProgress,
    emptyRolloutBook,
    findRollout,
    type OrderCommand,
    type ProgressCommand,
    type RolloutBook,
    rolloutBookSchema,
    rolloutStatus,
} from "@lentilramp/rollouts";
import { expect } from "chai";

const ackTimeoutMs = 5_000;

function order(target: string, orderedAt: number, service = "app", listed = ["v1"]): OrderCommand {
    return {
        type: "rollout-order",
        service,
        target,
        orderedAt,
        deadline: orderedAt + 60_000,
        listed,
        repeatsSince: orderedAt - ackTimeoutMs,
    };
}

function progress(orderedAt: number, at: number, change: ProgressCommand["change"]): ProgressCommand {
    return { type: "rollout-progress", service: "app", orderedAt, at, change };
}

describe("applyOrder and applyProgress", () => {
    const start = (): RolloutBook => applyOrder(emptyRolloutBook, order("v2", 1_000)).book;

    it("starts a roll-out from the versions that were listed", () => {
        const { book, outcome } = applyOrder(emptyRolloutBook, order("v2", 1_000, "app", ["v1", "v2", "v1"]));
        expect(outcome).to.deep.equal({ kind: "accepted", repeated: false });
        expect(findRollout(book, "app")).to.deep.equal({
            target: "v2",
            orderedAt: 1_000,
            deadline: 61_000,
            previous: ["v1"],
            state: "running",
            step: 0,
            changedAt: 1_000,
            barred: [],
        });
    });

    // Guards against an order that moves its own time limit each time that the operator's call is repeated.
    it("acknowledges a repeated order and changes nothing", () => {
        const book = start();
        const again = applyOrder(book, order("v2", 4_000));
        expect(again.outcome).to.deep.equal({ kind: "accepted", repeated: true });
        expect(again.book).to.equal(book);
    });

    // Guards against a second roll-out that is started by the repetition of an order that has been carried out.
    it("acknowledges a repetition after the end, and takes a later order for a new one", () => {
        for (const state of ["completed", "rolled_back"] as const) {
            const ended = applyProgress(start(), progress(1_000, 20_000, { state }));
            expect(applyOrder(ended, order("v2", 24_999)).book).to.equal(ended);
            const { book, outcome } = applyOrder(ended, order("v2", 25_001));
            expect(outcome).to.deep.equal({ kind: "accepted", repeated: false });
            expect(rolloutStatus(book, "app")).to.deep.equal({ state: "running", target: "v2" });
        }
    });

    it("refuses another target while a roll-out runs, and other services' orders do not matter", () => {
        const book = start();
        const other = applyOrder(book, order("v3", 2_000));
        expect(other.outcome).to.deep.equal({ kind: "conflict", target: "v2" });
        expect(other.book).to.equal(book);
        expect(applyOrder(book, order("v3", 2_000, "model")).outcome.kind).to.equal("accepted");
    });

    // Guards against requests to a version that was rolled back or replaced, by an earlier or by this roll-out.
    it("bars the target after a rollback, the earlier versions after completion, and none that is ordered again", () => {
        let book = applyProgress(start(), progress(1_000, 2_000, { state: "rolled_back" }));
        expect(findRollout(book, "app")?.barred).to.deep.equal(["v2"]);
        book = applyOrder(book, order("v3", 20_000, "app", ["v1", "v2"])).book;
        expect(findRollout(book, "app")?.barred).to.deep.equal(["v2"]);
        book = applyProgress(book, progress(20_000, 30_000, { state: "completed" }));
        expect(findRollout(book, "app")?.barred).to.deep.equal(["v1", "v2"]);
        book = applyOrder(book, order("v2", 40_000, "app", ["v3"])).book;
        expect(findRollout(book, "app")?.barred).to.deep.equal(["v1"]);
    });

    // Guards against an order that bars no version, because no list of endpoints had been read when it was made.
    it("adds the versions of the first list to an order that was made without one, once and for its own order", () => {
        const command = { ...order("v2", 1_000, "app", ["v0"]), awaitsList: true };
        const { book } = applyOrder(emptyRolloutBook, command);
        expect(findRollout(book, "app")).to.deep.include({ previous: ["v0"], awaitsList: true });
        expect(applyProgress(book, progress(999, 2_000, { listed: ["v9"] }))).to.equal(book);
        let listed = applyProgress(book, progress(1_000, 2_000, { listed: ["v2", "v1"] }));
        expect(findRollout(listed, "app")).to.deep.include({ previous: ["v0", "v1"], changedAt: 1_000 });
        expect(findRollout(listed, "app")).not.to.have.property("awaitsList");
        expect(listed.revision).to.equal(book.revision + 1);
        // A later release that needs no order is not part of the roll-out.
        expect(applyProgress(listed, progress(1_000, 3_000, { listed: ["v1", "v3"] }))).to.equal(listed);
        listed = rolloutBookSchema.parse(JSON.parse(JSON.stringify(listed)));
        const ended = applyProgress(listed, progress(1_000, 9_000, { state: "completed" }));
        expect(findRollout(ended, "app")?.barred).to.deep.equal(["v0", "v1"]);
        expect(findRollout(rolloutBookSchema.parse(JSON.parse(JSON.stringify(book))), "app")?.awaitsList).to.equal(
            true,
        );
        expect(findRollout(start(), "app")).not.to.have.property("awaitsList");
    });

    // Guards against a late step or decision of an earlier leader that changes the next roll-out or an ended one.
    it("ignores changes of another order, of an ended roll-out, and steps backwards", () => {
        const book = applyProgress(start(), progress(1_000, 2_000, { step: 2 }));
        expect(findRollout(book, "app")).to.include({ step: 2, changedAt: 2_000, state: "running" });
        expect(applyProgress(book, progress(999, 3_000, { state: "completed" }))).to.equal(book);
        expect(applyProgress(book, progress(1_000, 3_000, { step: 1 }))).to.equal(book);
        const ended = applyProgress(book, progress(1_000, 3_000, { state: "rolled_back" }));
        expect(applyProgress(ended, progress(1_000, 4_000, { state: "completed" }))).to.equal(ended);
        expect(ended.revision).to.equal(3);
    });

    it("knows no roll-out of a service that is named like a property of all objects", () => {
        expect(rolloutStatus(start(), "constructor")).to.equal(undefined);
        const { book } = applyOrder(start(), order("v2", 1_000, "constructor"));
        expect(rolloutStatus(book, "constructor")?.target).to.equal("v2");
    });

    // Guards against a state that grows with each service that was ever named, and against forgetting a running one.
    it("forgets the roll-outs that ended first when there are too many services", () => {
        let book = start();
        for (let i = 0; i < 300; i++) {
            book = applyOrder(book, order("v2", 2_000 + i, `s${i}`)).book;
            const change = { ...progress(2_000 + i, 3_000 + i, { state: "completed" }), service: `s${i}` };
            book = applyProgress(book, change);
        }
        expect(Object.keys(book.services)).to.have.length(256);
        expect(findRollout(book, "app")?.state).to.equal("running");
        expect(findRollout(book, "s0")).to.equal(undefined);
        expect(rolloutBookSchema.parse(JSON.parse(JSON.stringify(book)))).to.deep.equal(book);
    });
});
