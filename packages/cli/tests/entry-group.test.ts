import { expect } from "chai";
import { TestGroup } from "./test-group.ts";

const all = [0, 1, 2];

describe("entries over sockets", () => {
    let group: TestGroup;

    beforeEach(async () => {
        group = new TestGroup();
        await Promise.all(all.map(i => group.startControl(i)));
        await Promise.all(all.map(i => group.startEntry(i)));
        await group.propose("first", 0, group.configuration(0.1));
        for (const i of all) {
            await group.until(async () => Number((await group.status(`entry-${i + 1}`)).version) > 0);
        }
    });

    afterEach(() => group.close());

    // Guards against callers that are sent to an entry that has stopped as planned.
    it("stops naming an entry that leaves", async () => {
        await group.until(async () => (await group.lookUp("entry-1")).length === 3);
        await group.stop("entry-3");
        await group.until(async () => (await group.lookUp("entry-1")).length === 2);
        expect(await group.lookUp("entry-1")).to.not.include(group.portOf("entry-3"));
    });

    // Guards against new work from an entry that no longer hears the control group.
    it("loses its send permit when the control group is gone and gets it back with the group", async () => {
        const permit = async () => Number((await group.status("entry-1")).permitMs);
        await group.until(async () => await permit() > 0);
        await Promise.all(all.map(i => group.stop(`control-${i + 1}`)));
        await group.until(async () => await permit() === 0);
        const { version } = await group.status("entry-1");
        await Promise.all(all.map(i => group.startControl(i)));
        await group.until(async () => await permit() > 0);
        expect((await group.status("entry-1")).version).to.be.at.least(Number(version));
    });
});
