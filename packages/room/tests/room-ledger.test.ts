import { RoomLedger, type RoomReport, roomReportSchema } from "@lentilramp/room";
import { expect } from "chai";

describe("RoomLedger", () => {
    const owner = { service: "s", rank: 1, workspace: "w" };
    const start = (): RoomLedger => new RoomLedger(0, service => service !== "silent");
    const arrived = (report: RoomReport): number =>
        (report.services["s"] ?? []).reduce((sum, [, , slotMs]) => sum + slotMs, 0);

    it("reports arrived and served work by rank and workspace, and each of it until a leader has answered", () => {
        const ledger = start();
        ledger.recordArrival(owner, { slotMs: 400, promptTokens: 50 });
        ledger.recordArrival({ ...owner, workspace: "v" }, { slotMs: 100, promptTokens: 0 });
        ledger.recordServed(owner, 400, 300);
        const report = ledger.takeReport(250);
        expect(report).to.deep.equal({
            overMs: 250,
            services: { s: [[1, "w", 400, 50, 400, 300], [1, "v", 100, 0, 0, 0]] },
        });
        ledger.confirm(250);
        expect(ledger.takeReport(500)).to.deep.equal({ overMs: 250, services: {} });
    });

    // Guards against a fleet that takes itself for idle because syncs were lost.
    it("reports the work of a lost sync again, with the time that it covers", () => {
        const ledger = start();
        ledger.recordArrival(owner, { slotMs: 400, promptTokens: 0 });
        ledger.takeReport(250);
        ledger.recordArrival(owner, { slotMs: 200, promptTokens: 0 });
        const second = ledger.takeReport(500);
        expect([arrived(second), second.overMs]).to.deep.equal([600, 500]);
        ledger.confirm(250);
        expect(arrived(ledger.takeReport(600))).to.equal(200);
    });

    // Guards against reports of two sync intervals: a burst in one would count as two successive ones. The clock goes on
    // between the start of a sync and its report.
    it("reports work once if the answered report was taken a little after its sync began", () => {
        const ledger = start();
        ledger.recordArrival(owner, { slotMs: 400, promptTokens: 0 });
        ledger.takeReport(250.3);
        ledger.confirm(250);
        ledger.recordArrival(owner, { slotMs: 100, promptTokens: 0 });
        const second = ledger.takeReport(500.3);
        expect(arrived(second)).to.equal(100);
        expect(second.overMs).to.be.closeTo(250, 0.01);
    });

    // Guards against the load of a minute ago that counts as the present one after a time without a leader.
    it("forgets work that is older than two seconds and was never answered", () => {
        const ledger = start();
        ledger.recordArrival(owner, { slotMs: 9_000, promptTokens: 0 });
        for (let now = 250; now <= 60_000; now += 250) {
            ledger.takeReport(now);
        }
        const { overMs, services } = ledger.takeReport(60_250);
        expect(services).to.deep.equal({});
        expect(overMs).to.be.at.most(2_250);
    });

    // Guards against a change for services whose endpoints report no pace.
    it("leaves out services whose endpoints do not report their pace", () => {
        const ledger = start();
        ledger.recordArrival({ ...owner, service: "silent" }, { slotMs: 400, promptTokens: 0 });
        expect(ledger.takeReport(250).services).to.deep.equal({});
    });

    // Guards against syncs that grow with the number of workspaces.
    it("sums the smallest workspaces by rank when there are many", () => {
        const ledger = start();
        for (let i = 0; i < 500; i++) {
            ledger.recordArrival({ ...owner, rank: i % 2, workspace: `w${i}` }, { slotMs: 1_000 + i, promptTokens: 0 });
        }
        const report = ledger.takeReport(250);
        expect(report.services["s"]).to.have.lengthOf(34);
        expect(arrived(report)).to.equal(500 * 1_000 + 499 * 250);
        expect(JSON.stringify(report).length).to.be.below(1_200);
    });

    // Guards against a leader that counts work without end, or none of a report, for one row that cannot be true.
    it("leaves out rows that are malformed, negative, huge or not finite", () => {
        const good = [1, "w", 400, 50, 0, 0];
        const odd = [[-1, "w", 1, 1, 1, 1], [1, "w", -5, 0, 0, 0], [1, "w", 1e300, 0, 0, 0], ["x"], 7, [
            1,
            2,
            3,
            4,
            5,
            6,
        ]];
        const read = roomReportSchema.parse({ overMs: 250, services: { s: [...odd, good] } });
        expect(read.services).to.deep.equal({ s: [good] });
        expect(roomReportSchema.safeParse({ overMs: -1, services: {} }).success).to.equal(false);
    });
});
