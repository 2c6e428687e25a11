import { expect } from "chai";
import { explainLosses } from "../src/commands/explain.ts";

const at = (second: number): string => `time=2026-03-01T10:00:0${second}.100Z level=info`;

describe("explainLosses", () => {
    const lines = [
        `${at(1)} event=request.given-up process=i1 id=a reason=overload runs=0 best=e1`,
        `  1.2 i2 ${at(1)} event=request.given-up process=i2 id=b reason=overload runs=0 best=e1`,
        `${at(2)} event=request.given-up process=i1 id=c reason="time is up" runs=1`,
        `${at(2)} event=request.refused process=i1 id=d status=429 reason="usage cap" workspace=w`,
        `${at(3)} event=request.done process=i1 id=e outcome=answered runs=1 late=true firstByteMs=900 predictedMs=200`,
        `${at(3)} event=request.done process=i1 id=f outcome=answered runs=1 firstByteMs=90 predictedMs=200`,
        `${at(4)} event=log.left-out process=i2 lines=7`,
    ];

    // After a bad minute the on-call engineer counted lines by hand and took late answers for refused ones.
    it("counts what callers lost by cause, with where and when it was worst", () => {
        const { causes, missingLines } = explainLosses(lines, {});
        expect(causes.map(({ cause, count }) => [cause, count])).to.deep.equal([
            ["given up before it ran: overload", 2],
            ["given up after it ran: time is up", 1],
            ["refused at the door: usage cap (429)", 1],
            ["late: slower than predicted", 1],
        ]);
        expect(causes[0]).to.deep.include({
            worstSecond: { time: "2026-03-01T10:00:01", count: 2 },
            endpoints: { e1: 2 },
            instances: { i1: 1, i2: 1 },
        });
        expect(causes[2]?.workspaces).to.deep.equal({ w: 1 });
        expect(missingLines).to.equal(7);
    });

    it("counts only the time asked for", () => {
        const { causes } = explainLosses(lines, { from: "2026-03-01T10:00:02", to: "2026-03-01T10:00:03" });
        expect(causes.map(({ cause }) => cause)).to.have.members([
            "given up after it ran: time is up",
            "refused at the door: usage cap (429)",
        ]);
    });
});
