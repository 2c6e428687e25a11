import { experiments } from "@lentilramp/bench";
import { expect } from "chai";

describe("election time", () => {
    // A lost vote message, a split vote or a lost hand-over request must not leave the group without a leader until the
    // send permits end. The result must depend on the seed alone.
    it("does not exceed its targets when up to 5% of the messages are lost, and repeats from its seed", async () => {
        const experiment = experiments.find(({ name }) => name === "election");
        const result = await experiment!.run(1);
        expect(result.targets.filter(target => !target.met)).to.deep.equal([]);
        expect(await experiment!.run(1)).to.deep.equal(result);
    });
});
