import { expect } from "chai";
import { connectDeadline } from "../src/send-timing.ts";

describe("connectDeadline", () => {
    // An endpoint went dark while the list still named it. In three seconds 28 requests with a target of 800 ms waited
    // 700 ms each for a connection, and were late at the next endpoint.
    it("leaves time to answer elsewhere within 800 ms, and for two endpoints that are dark", () => {
        const expectedMs = 250;
        const afterFirst = connectDeadline(0);
        expect(afterFirst + expectedMs).to.be.at.most(800);
        expect(connectDeadline(afterFirst) + expectedMs).to.be.at.most(800);
    });

    it("waits for several round trips between regions", () => {
        expect(connectDeadline(0)).to.be.at.least(5 * 2 * 12);
    });
});
