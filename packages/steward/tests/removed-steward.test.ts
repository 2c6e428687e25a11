import { expect } from "chai";
import { StewardGroup } from "./steward-group.ts";

describe("A steward that was away", () => {
    // Guards against a steward that stays out of the group, with an old catalog, after a cut of several seconds.
    for (const seed of [1, 2, 3, 4, 5]) {
        it(`follows the group again after a cut, with six voters that may lose two disks, seed ${seed}`, async () => {
            const group = new StewardGroup();
            await group.start(seed, 3, 3, 2);
            await group.run(8_000);
            const leader = group.leader;
            expect(group.voters).to.equal(6);
            await group.storeCatalog(1);
            const away = group.stewards.find(({ host }) => host !== leader?.host);
            group.cutOff.add(away?.host ?? "");
            await group.run(5_000);
            await group.storeCatalog(2);
            await group.run(5_000);
            // A silent member that counted as caught up would get its vote back and lower the tolerated losses.
            expect(group.voters).to.equal(5);
            expect(away?.state.catalog?.version).to.equal(1);
            group.cutOff.clear();
            await group.run(2_000);
            expect(away?.state.catalog?.version).to.equal(2);
            expect(group.voters).to.equal(6);
        });
    }
});
