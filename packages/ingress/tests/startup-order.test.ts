import { ManualClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { StartupWaits } from "../src/startup-waits.ts";

describe("StartupWaits", () => {
    let clock: ManualClock;
    let isReady: boolean;
    let waits: StartupWaits;
    let order: { name: string; at: number; }[];

    beforeEach(() => {
        clock = new ManualClock(1_000);
        isReady = false;
        waits = new StartupWaits(clock, () => isReady);
        order = [];
    });

    function add(name: string, rank: number, giveUpAt = 2_000, isOver = (): boolean => false): void {
        void waits.wait({ giveUpAt, isOver, rank: () => rank }).then(() => order.push({ name, at: clock.now() }));
    }

    async function advance(ms: number): Promise<void> {
        for (const end = clock.now() + ms; clock.now() < end;) {
            clock.advanceTo(clock.now() + 1);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    // Guards against urgent requests that wait behind all others when all callers return after a loss of power.
    it("lets the most urgent requests go first, in batches, however they arrived", async () => {
        for (let i = 0; i < 40; i++) {
            add(`r${i}`, (39 - i) % 4);
        }
        await advance(100);
        expect(order).to.deep.equal([]);
        isReady = true;
        waits.check();
        await new Promise(resolve => setImmediate(resolve));
        expect(order.length).to.be.within(1, 20);
        await advance(50);
        expect(order).to.have.length(40);
        const ranks = order.map(({ name }) => (39 - Number(name.slice(1))) % 4);
        expect(ranks).to.deep.equal([...ranks].sort((a, b) => a - b));
    });

    // Guards against the same for an urgent request that arrives while the others go on.
    it("lets an urgent request that arrives meanwhile go before less urgent ones", async () => {
        for (let i = 0; i < 40; i++) {
            add(`r${i}`, 5);
        }
        isReady = true;
        waits.check();
        expect(waits.isBusy).to.equal(true);
        add("urgent", 0);
        await advance(50);
        expect(order).to.have.length(41);
        expect(order.findIndex(({ name }) => name === "urgent")).to.be.below(20);
        expect(waits.isBusy).to.equal(false);
    });

    // Guards against requests that take all of their time, or that a planned stop waits for.
    it("lets a request go on at its instant or once it is over, while the process cannot serve", async () => {
        let left = false;
        add("short", 0, 1_105);
        add("left", 0, 9_000, () => left);
        add("long", 0, 9_000);
        await advance(200);
        expect(order.map(({ name }) => name)).to.deep.equal(["short"]);
        expect(order[0]?.at).to.be.within(1_105, 1_106);
        left = true;
        await advance(25);
        expect(order.map(({ name }) => name)).to.deep.equal(["short", "left"]);
    });

    // Readiness depends on time too, which no update announces.
    it("notices without an update that the process can serve", async () => {
        add("a", 0);
        await advance(10);
        isReady = true;
        await advance(25);
        expect(order.map(({ name }) => name)).to.deep.equal(["a"]);
    });
});
