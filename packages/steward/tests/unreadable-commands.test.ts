import type { AgreementDriver } from "@lentilramp/control";
import { StewardCore, StewardState } from "@lentilramp/steward";
import { expect } from "chai";
import { StewardGroup } from "./steward-group.ts";

const unreadable = [
    `{"type":"later-command","part":"a"}`,
    `{"type":"usage","report":{"window":7,"counts":{"w":null}}}`,
    `{"type":"members","count":1e400}`,
    "[".repeat(100_000) + "]".repeat(100_000),
    "no JSON",
];

describe("Commands that a steward cannot read", () => {
    // Guards against a committed command that ends every steward, and again at each start, as the log is replayed.
    it("are passed over by every steward, also after a restart", async () => {
        const group = new StewardGroup();
        await group.start(5, 3, 0, 1);
        await group.run(3_000);
        await group.storeCatalog(1);
        for (const [i, text] of unreadable.entries()) {
            const committed = group.leader?.driver.propose(text);
            await group.run(200);
            await committed;
            await group.storeCatalog(i + 2);
        }
        const newest = unreadable.length + 1;
        await group.run(500);
        expect(group.stewards.map(({ state }) => state.catalog?.version)).to.deep.equal([newest, newest, newest]);
        for (const steward of [...group.stewards]) {
            await group.restart(steward);
        }
        await group.run(3_000);
        await group.storeCatalog(newest + 1);
        expect(group.leader?.state.catalog?.version).to.equal(newest + 1);
        expect(group.stewards.flatMap(({ log }) => log.events.filter(({ level }) => level === "error"))).to.deep.equal(
            [],
        );
    });

    it("are reported with their index and are not proposed", async () => {
        const passedOver: number[] = [];
        const state = new StewardState(() => undefined, () => undefined, index => passedOver.push(index));
        unreadable.forEach((text, i) => state.apply(text, i + 1));
        expect(passedOver).to.deep.equal([1, 2, 3, 4, 5]);
        const proposed: string[] = [];
        const driver = { propose: async (text: string) => proposed.push(text) };
        const core = new StewardCore(
            driver as unknown as AgreementDriver,
            state,
            ...[undefined, undefined, undefined] as unknown as [never, never, never],
        );
        const report = { window: 7, counts: { w: Infinity } };
        const failure = await core.propose({ type: "usage", report }).catch((err: unknown) => err);
        expect(String(failure)).to.include("cannot be read back");
        expect(proposed).to.deep.equal([]);
    });
});
