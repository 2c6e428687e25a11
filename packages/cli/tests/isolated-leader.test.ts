import { ModelEngine } from "@lentilramp/stand-ins";
import { expect } from "chai";
import { FaultGroup, StandIns } from "./fault-group.ts";

const entries = ["entry-1", "entry-2", "entry-3"];

describe("a leader behind a silent partition", () => {
    let group: FaultGroup;
    let engines: StandIns<ModelEngine>;

    beforeEach(async () => {
        engines = await new StandIns([new ModelEngine()]).start();
        group = new FaultGroup();
        await group.startAll();
        await group.found(group.withEndpoints(engines.addresses), entries);
    });

    afterEach(async () => {
        await group.close();
        await engines.close();
    });

    // Guards against a change that waits for, or is reverted by, a leader that hears nobody and accepts connections.
    it("is replaced, gives way after the partition and takes over the newest version", async () => {
        const isolated = await group.leader();
        const { version: before } = await group.status(isolated);
        group.network.isolate(isolated);
        const leader = await group.leader(isolated);
        const version = await group.change("during", 0.9);
        for (const entry of entries) {
            await group.until(async () => Number((await group.status(entry)).version) >= version);
        }
        expect((await group.status(isolated)).version).to.equal(before);
        await group.until(async () => (await group.status(isolated)).leaseUntil === undefined);
        const { term } = await group.status(leader);

        const seen: number[] = [];
        group.network.heal();
        await group.until(async () => {
            seen.push(Number((await group.status(isolated)).version));
            return seen.at(-1) === Number((await group.status(leader)).version);
        });
        expect(seen).to.deep.equal([...seen].sort((a, b) => a - b));
        await group.change("after", 0.8);
        expect((await group.status(leader)).role).to.equal("leader");
        expect((await group.status(leader)).term).to.equal(term);
        expect((await group.status(isolated)).role).to.equal("follower");
        expect((await group.current()).costWeight).to.equal(0.8);
    });

    // Guards against permits from a leader that was replaced: its entry would keep sending to drained endpoints.
    it("grants no permit to an entry that reaches it alone", async () => {
        const isolated = await group.leader();
        group.network.isolate(isolated);
        for (const { name } of group.members.filter(member => member.name !== isolated)) {
            group.network.silence("entry-1", name);
            group.network.silence(name, "entry-1");
        }
        group.network.allow("entry-1", isolated);
        const leader = await group.leader(isolated);
        await group.until(async () => Number((await group.status("entry-1")).permitMs) === 0);
        const version = await group.change("during", 0.9);
        expect((await group.status("entry-1")).permitMs).to.equal(0);
        expect(Number((await group.status("entry-1")).version)).to.be.lessThan(version);
        group.network.heal();
        await group.until(async () => {
            const status = await group.status("entry-1");
            return Number(status.version) >= version && Number(status.permitMs) > 0;
        });
        expect((await group.status(leader)).role).to.equal("leader");
    });
});
