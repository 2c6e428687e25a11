import { expect } from "chai";
import { joinTrace } from "../src/commands/trace.ts";

describe("trace", () => {
    const first = [
        "time=2026-01-01T00:00:02.000Z level=info event=request.given-up process=i-1 id=abc reason=cut",
        "time=2026-01-01T00:00:01.500Z level=info event=log.left-out process=i-1 of=request.refused lines=12",
    ].join("\n");
    const second = "time=2026-01-01T00:00:01.000Z level=info event=request.send-failed process=i-2 id=abc outcome=cut";

    it("joins the lines of several processes in the order of their times", () => {
        expect(joinTrace("abc", [first, second]).lines.map(({ process }) => process)).to.deep.equal(["i-2", "i-1"]);
    });

    it("does not take an id for another one that begins alike, and says how many lines are missing", () => {
        expect(joinTrace("ab", [first, second])).to.deep.equal({ lines: [], missing: { "i-1": 12 } });
    });
});
