import { expect } from "chai";
import { MemoryAccount, memoryAccountDefaults } from "../src/index.ts";

const budgetBytes = 100_000_000;

function createAccount(): MemoryAccount {
    return new MemoryAccount({ ...memoryAccountDefaults, budgetBytes });
}

describe("MemoryAccount", () => {
    // Guards against a bound that one client inside the limits reaches on its own.
    it("lets a single holding grow whatever its size", () => {
        const account = createAccount();
        const holding = account.open(0);
        account.open(0).add(4_096);
        holding.add(5 * budgetBytes);
        expect(account.mayGrow(holding)).to.equal(true);
        expect(account.refusesNew(holding)).to.equal(false);
    });

    // Guards against holdings that each stay below a limit of their own and together exceed the budget.
    it("stops growth of many holdings together, then refuses new ones", () => {
        const account = createAccount();
        const holdings = Array.from({ length: 100 }, () => account.open(0));
        let grown = 0;
        for (let bytes = 0; bytes < budgetBytes; bytes += 100_000) {
            const holding = holdings[bytes / 100_000 % 100];
            if (holding !== undefined && account.mayGrow(holding)) {
                holding.add(100_000);
                grown += 100_000;
            }
        }
        expect(grown).to.equal(75_000_000);
        expect(account.refusesNew(account.open(0))).to.equal(false);
        account.open(0).add(15_000_000);
        expect(account.refusesNew(account.open(0))).to.equal(true);
    });

    // Guards against ordinary bodies that wait until large ones have been refused.
    it("lets small holdings grow while large ones wait", () => {
        const account = createAccount();
        const large = account.open(0);
        large.add(40_000_000);
        account.open(0).add(40_000_000);
        const small = account.open(0);
        small.add(60_000);
        expect(account.mayGrow(large)).to.equal(false);
        expect(account.mayGrow(small)).to.equal(true);
        account.open(0).add(10_000_000);
        expect(account.mayGrow(small)).to.equal(false);
    });

    // Guards against waiting bodies that are overtaken by later ones, and never go on.
    it("resumes those that wait in order once there is room", () => {
        const account = createAccount();
        const full = account.open(0);
        full.add(75_000_000);
        const resumed: number[] = [];
        [1, 2, 3].forEach(number => {
            const holding = account.open(0);
            holding.add(200_000);
            holding.waitForRoom(0, () => {
                holding.add(40_000_000);
                resumed.push(number);
            });
        });
        account.resumeWaiting(10);
        expect(resumed).to.deep.equal([]);
        full.close();
        account.resumeWaiting(20);
        expect(resumed).to.deep.equal([1, 2]);
        expect(account.waitingCount).to.equal(1);
        expect(account.usedBytes).to.equal(80_600_000);
    });

    // Guards against the close of a sender that makes progress instead of one that has stopped.
    it("chooses the one that holds most for longest without progress", () => {
        const account = createAccount();
        const [large, older, progressing, relayed] = [50_000_000, 20_000_000, 60_000_000, 70_000_000].map(bytes => {
            const holding = account.open(0);
            holding.add(bytes);
            holding.awaitsClient = true;
            return holding;
        });
        if (relayed !== undefined) {
            relayed.awaitsClient = false;
        }
        large?.recordProgress(1_000_000, 4_000);
        large?.restart(4_000);
        progressing?.restart(9_900);
        expect(account.chooseVictim(10_000)).to.equal(large);
        large?.close();
        expect(account.chooseVictim(10_000)).to.equal(older);
    });

    // Guards against a client that keeps its place with a byte now and then, or with one large burst at the beginning.
    it("takes neither a trickle nor a burst for progress", () => {
        const account = createAccount();
        const holding = account.open(0);
        holding.awaitsClient = true;
        holding.recordProgress(1_000_000, 10);
        for (let now = 1_000; now <= 10_000; now += 1_000) {
            holding.recordProgress(1, now);
        }
        expect(holding.stalledMs(10_000)).to.be.within(9_900, 10_000);
    });

    // Guards against syncs between processes that wait for the memory that clients hold.
    it("lets an exempt holding grow, and never chooses it", () => {
        const account = createAccount();
        account.open(0).add(budgetBytes);
        const exempt = account.open(0);
        exempt.isExempt = true;
        exempt.add(budgetBytes);
        exempt.awaitsClient = true;
        expect(account.mayGrow(exempt)).to.equal(true);
        expect(account.refusesNew(exempt)).to.equal(false);
        expect(account.chooseVictim(10_000)).to.equal(undefined);
    });

    // Guards against closing connections while there is room for all.
    it("chooses nobody while nobody waits", () => {
        const account = createAccount();
        const holding = account.open(0);
        holding.awaitsClient = true;
        holding.add(80_000_000);
        expect(account.chooseVictim(60_000)).to.equal(undefined);
    });

    // Guards against bodies that all wait for each other.
    it("ends the wait of senders that fill the account together", () => {
        const account = createAccount();
        const holdings = Array.from({ length: 4 }, () => account.open(0));
        holdings.forEach(holding => {
            holding.add(20_000_000);
            holding.awaitsClient = true;
            holding.waitForRoom(0, () => undefined);
        });
        expect(account.chooseVictim(1_000)).to.equal(undefined);
        holdings[2]?.add(10_000);
        expect(account.chooseVictim(2_000)).to.equal(holdings[2]);
    });

    // Guards against an account that never empties, since something was added or given back twice.
    it("ignores what is added to a closed holding, and gives back no more than was taken", () => {
        const account = createAccount();
        const holding = account.open(0);
        holding.add(100);
        holding.add(-300);
        expect(account.usedBytes).to.equal(0);
        holding.close();
        holding.add(50);
        expect(account.usedBytes).to.equal(0);
    });
});
