import { DataFolder } from "@lentilramp/journal";
import { MemoryEventLog } from "@lentilramp/runtime";
import { decideFounding, stewardAddress } from "@lentilramp/steward";
import { expect } from "chai";
import { FaultyFiles } from "../../journal/tests/faulty-files.ts";

const seeds = ["10.1.0.1", "10.2.0.1", "10.3.0.1"];

async function decide(files: FaultyFiles, host: string, firstStart: boolean, seedHosts: readonly string[] = seeds) {
    const folder = await DataFolder.open(files, "/data", "single-process");
    const file = await folder.openMetadata("founding");
    const input = { selfAddress: stewardAddress(host, 7_600), seedHosts, firstStart, folderIdentity: folder.identity };
    return await decideFounding(input, file, new MemoryEventLog());
}

describe("decideFounding", () => {
    it("gives all seeds the same group without messages for any order of the seeds", async () => {
        const decisions = await Promise.all(
            seeds.map((host, i) => decide(new FaultyFiles(), host, true, [...seeds.slice(i), ...seeds.slice(0, i)])),
        );
        const members = decisions.map(({ state }) => state.snapshot.membership);
        expect(members[1]).to.deep.equal(members[0]);
        expect(members[2]).to.deep.equal(members[0]);
        expect(members[0]?.members.map(({ id }) => id)).to.include.members(decisions.map(({ id }) => id));
    });

    it("makes non-seeds and seeds that lost their disk join, so that no second group is founded", async () => {
        const other = await decide(new FaultyFiles(), "10.1.0.9", true);
        const wiped = await decide(new FaultyFiles(), seeds[0] ?? "", false);
        for (const { id, state } of [other, wiped]) {
            expect(state.snapshot.membership.members).to.deep.equal([]);
            expect(id).to.not.match(/^founder/);
        }
    });

    it("keeps its decision when it restarts with other seeds", async () => {
        const files = new FaultyFiles();
        const first = await decide(files, seeds[0] ?? "", true);
        const again = await decide(files, seeds[0] ?? "", false, ["10.9.0.1"]);
        expect(again).to.deep.equal(first);
    });
});
