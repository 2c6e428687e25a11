import { type AdmissionLevel, admittedShare, RoomAllocator, type WorkRate } from "@lentilramp/room";
import { expect } from "chai";

const intervalMs = 250;
const capacity = { slots: 100, slowdown: 1, tokensPerMs: undefined };

function work(slots: number, rank = 1, workspace = "w", more: Partial<WorkRate> = {}): WorkRate {
    return { rank, workspace, slots, tokensPerMs: 0, servedSlots: 0, occupiedSlots: 0, ...more };
}

/** Feeds an allocator one sample for each sync interval. */
class Feed {
    readonly allocator = new RoomAllocator();
    now = 0;
    level: AdmissionLevel | undefined;

    run(forMs: number, rates: readonly WorkRate[], has = capacity as Parameters<RoomAllocator["observe"]>[1]): this {
        for (const until = this.now + forMs; this.now < until;) {
            this.now += intervalMs;
            this.level = this.allocator.observe(rates, has, this.now, intervalMs);
        }
        return this;
    }

    share(rank = 1, workspace = "w"): number {
        return this.level === undefined ? 1 : admittedShare(this.level, rank, workspace);
    }
}

describe("RoomAllocator", () => {
    // Guards against refusals for a single sample, such as the report of an ingress that was held.
    it("begins a level after two successive sync intervals above 1.05 of the capacity", () => {
        const feed = new Feed().run(2_000, [work(104)]);
        expect(feed.level).to.equal(undefined);
        const spike = new Feed().run(2_000, [work(60)]).run(intervalMs, [work(200)]);
        expect(spike.level).to.equal(undefined);
        expect(spike.run(2_000, [work(60)]).level).to.equal(undefined);
        const burst = new Feed().run(intervalMs, [work(200)]);
        expect(burst.level).to.equal(undefined);
        expect(burst.run(intervalMs, [work(200)]).share()).to.be.closeTo(0.5, 0.01);
    });

    // Guards against a level that swings between refusing and admitting everything.
    it("tightens at once, loosens with a time constant of a second, and ends below 0.9 of the capacity", () => {
        const feed = new Feed().run(2_000, [work(125)]);
        expect(feed.share()).to.be.closeTo(0.8, 0.01);
        feed.run(1_000, [work(200)]);
        expect(feed.share()).to.be.closeTo(0.5, 0.01);
        feed.run(1_000, [work(95)]);
        expect(feed.share()).to.be.within(0.5, 0.85);
        feed.run(1_000, [work(95)]);
        expect(feed.share()).to.be.within(0.75, 0.95);
        feed.run(8_000, [work(95)]);
        expect(feed.share()).to.equal(1);
        expect(feed.run(1_000, [work(85)]).level).to.equal(undefined);
    });

    // Guards against a fleet that goes on refusing by the state of a steward that led before.
    it("forgets its level when it has heard nothing for three sync intervals", () => {
        const feed = new Feed().run(1_000, [work(200)]);
        feed.now += 4 * intervalMs;
        expect(feed.run(intervalMs, [work(200)]).level).to.equal(undefined);
        expect(feed.run(intervalMs, [work(200)]).share()).to.be.closeTo(0.5, 0.01);
    });

    it("cuts a workspace at 7.5 times its usual load to its fair share, and no other one", () => {
        const rates = ["a", "b", "c", "d"].map(name => work(name === "a" ? 150 : 20, 1, name));
        const feed = new Feed().run(1_000, rates);
        expect(feed.share(1, "a")).to.be.closeTo(40 / 150, 0.01);
        expect(["b", "c", "d", "unheard"].map(name => feed.share(1, name))).to.deep.equal([1, 1, 1, 1]);
    });

    // Guards against a prompt rate that is exceeded while slots are free.
    it("divides the prompt rate while that is scarcer than slots", () => {
        const rates = [work(20, 1, "a", { tokensPerMs: 900 }), work(60, 1, "b", { tokensPerMs: 100 })];
        const feed = new Feed().run(1_000, rates, { ...capacity, tokensPerMs: 500 });
        expect(feed.share(1, "a")).to.be.closeTo(400 / 900, 0.01);
        expect(feed.share(1, "b")).to.equal(1);
    });

    // Guards against refusals by estimates of slot times that are too long, and against a far too short one.
    it("corrects expected slot times by those of served requests, by a factor of two at most", () => {
        const over = work(120, 1, "w", { servedSlots: 100, occupiedSlots: 60 });
        expect(new Feed().run(20_000, [over]).level).to.equal(undefined);
        const under = work(80, 1, "w", { servedSlots: 80, occupiedSlots: 100 });
        expect(new Feed().run(30_000, [under]).level).to.equal(undefined);
        const far = work(80, 1, "w", { servedSlots: 80, occupiedSlots: 8_000 });
        expect(new Feed().run(60_000, [far]).share()).to.be.closeTo(100 / 160, 0.01);
        // Endpoints that are known to be slow count once.
        const slow = { ...capacity, slots: 50, slowdown: 2 };
        const rate = work(44, 1, "w", { servedSlots: 40, occupiedSlots: 80 });
        expect(new Feed().run(20_000, [rate], slow).level).to.equal(undefined);
    });

    // Guards against slowness that counts in the slots and in the expected times: those of a plain service are learned
    // from answers, and hold it.
    it("counts slow or fast endpoints once, also if expected times hold that or the factor is not one of slot times", () => {
        for (const slowdown of [3, 1 / 3]) {
            const has = { ...capacity, slots: 100 / slowdown, slowdown };
            const even = { servedSlots: 80, occupiedSlots: 80 };
            expect(new Feed().run(30_000, [work(80, 1, "w", even)], has).level, `${slowdown}`).to.equal(undefined);
            const over = { servedSlots: 100, occupiedSlots: 100 };
            const feed = new Feed().run(60_000, [work(150, 1, "w", over)], has);
            expect(feed.share(), `${slowdown}`).to.be.closeTo(100 / 150, 0.01);
        }
    });

    // Guards against a service that refuses everything because of one malformed measurement.
    it("ignores a prompt rate that is not above zero", () => {
        for (const tokensPerMs of [0, -1, NaN]) {
            const rates = [work(20, 1, "a", { tokensPerMs: 10 }), work(20, 1, "b")];
            expect(new Feed().run(2_000, rates, { ...capacity, tokensPerMs }).level).to.equal(undefined);
            expect(new Feed().run(2_000, [work(20)], { ...capacity, tokensPerMs }).level).to.equal(undefined);
        }
    });

    // Guards against refusals by the slot times of the time before a steward lost the lead.
    it("forgets the correction of slot times when it has heard nothing for three sync intervals", () => {
        const feed = new Feed().run(30_000, [work(40, 1, "w", { servedSlots: 40, occupiedSlots: 80 })]);
        expect(feed.allocator.inputs?.correction).to.be.above(1.9);
        feed.now += 60_000;
        feed.run(intervalMs, [work(80)]);
        expect(feed.allocator.inputs?.correction).to.equal(1);
    });

    // Guards against a level for a service that has no endpoint: its requests are refused for that reason.
    it("has no level while no endpoint is ready, and begins anew when one is", () => {
        const feed = new Feed().run(1_000, [work(200)]).run(intervalMs, [work(200)], { ...capacity, slots: 0 });
        expect(feed.level).to.equal(undefined);
        expect(feed.run(intervalMs, [work(200)]).level).to.equal(undefined);
        expect(feed.run(intervalMs, [work(200)]).share()).to.be.closeTo(0.5, 0.01);
    });

    // Guards against answers to syncs that grow with the number of workspaces.
    it("lists at most 64 workspaces, those that are cut most", () => {
        const rates = [...Array(200).keys()].map(i => work(1 + i / 100, 1, `w${i}`));
        const { level } = new Feed().run(1_000, rates);
        expect(level?.workspaces).to.have.lengthOf(64);
        expect(level?.workspaces.some(([, name]) => name === "w199")).to.equal(true);
    });
});
