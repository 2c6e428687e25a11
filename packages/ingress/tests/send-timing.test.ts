import { expect } from "chai";
import { connectDeadline } from "../src/send-timing.ts";

describe("connectDeadline", () => {
    // While the list still contained an unreachable endpoint, 28 requests with a target of 800 ms waited 700 ms each
    // for a connection within three seconds, and were late at the next endpoint.
    it("leaves time for an answer within 800 ms after connect timeouts at one or two unreachable endpoints", () => {
        const expectedMs = 250;
        const afterFirst = connectDeadline(0);
        expect(afterFirst + expectedMs).to.be.at.most(800);
        expect(connectDeadline(afterFirst) + expectedMs).to.be.at.most(800);
    });

    it("waits for several round trips between regions before it gives up a connection", () => {
        expect(connectDeadline(0)).to.be.at.least(5 * 2 * 12);
    });
});
