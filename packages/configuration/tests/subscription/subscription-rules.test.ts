import {
    publisherBackoffMs,
    PublisherSelector,
    subscriptionTimeout,
    subscriptionWait,
} from "@lentilramp/configuration";
import { expect } from "chai";

describe("subscriptionWait", () => {
    // Guards against permits that expire while the publisher holds the first request after an election.
    it("decreases with the remaining time of the permit", () => {
        expect([2_500, 1_800, 1_600, 0, -5_000].map(subscriptionWait)).to.deep.equal([500, 500, 300, 100, 100]);
        expect(subscriptionTimeout(500)).to.equal(700);
    });
});

describe("PublisherSelector", () => {
    // Guards against a subscriber that alternates between a failed publisher and a working one.
    it("backs off from a publisher that failed or is disconnected, and later returns to the preferred one", () => {
        const choice = new PublisherSelector(["a", "b"]);
        choice.onFailure("a", 0);
        expect([choice.select(1), choice.select(publisherBackoffMs)]).to.deep.equal(["b", "a"]);
        choice.onAnswer("b", 100, 10);
        expect(choice.select(20)).to.equal("a");
        choice.onAnswer("b", 2_000, 30);
        expect(choice.select(40)).to.equal("b");
        expect(new PublisherSelector([]).select(0)).to.equal(undefined);
    });
});
