import {
    allRules,
    clockRateError,
    ConfigurationPublisher,
    ConfigurationRelay,
    ConfigurationView,
    DrainTracker,
    PermitGrantor,
    type RuleSwitches,
    SendPermit,
    type SubscribeAnswer,
    type SubscribeRequest,
} from "@lentilramp/configuration";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";
import { startedDriver } from "../fixtures.ts";

interface Subscriber {
    rate: number;
    offset: number;
    view: ConfigurationView;
    permit: SendPermit;
}

/**
 * Simulates a leader, a relay and entries whose clocks have rate errors. Messages take up to 3 s, and from some instant
 * on the leader is disconnected from the relay and from the entries that subscribe to it directly. Returns the number
 * of entries that could send to the drained endpoint when the leader considered the drain effective.
 */
function countSendersAfterDrain(seed: number, switches: RuleSwitches): number {
    const random = new SeededRandom(seed);
    const driver = startedDriver();
    const grantor = new PermitGrantor();
    grantor.onCurrentTermApplied();
    grantor.onLease(Number.POSITIVE_INFINITY);
    const drain = new DrainTracker();
    drain.onElected(0);
    const relay = new ConfigurationRelay();
    const rate = () => 1 + (2 * random.next() - 1) * clockRateError;
    const leaderRate = rate();
    const relayRate = rate();
    const subscribers: Subscriber[] = Array.from({ length: 6 }, () => ({
        rate: rate(),
        offset: random.nextInt(1_000_000),
        view: new ConfigurationView(),
        permit: new SendPermit(switches),
    }));
    const pending: { deliverAt: number; run: (now: number) => void; }[] = [];
    const deliverLater = (now: number, run: (now: number) => void) => {
        const delay = random.nextInt(10) === 0 ? random.nextInt(3_000) : random.nextInt(20);
        pending.push({ deliverAt: now + delay, run });
    };
    /** Delivers a request, holds it as a publisher does, and then delivers the answer of the publisher. */
    const exchange = (
        now: number,
        request: SubscribeRequest,
        viaRelay: boolean,
        onAnswer: (answer: SubscribeAnswer) => void,
    ) => {
        const publisherRate = viaRelay ? relayRate : leaderRate;
        const publisher = viaRelay
            ? new ConfigurationPublisher(relay, relay)
            : new ConfigurationPublisher(driver.store, grantor);
        deliverLater(now, receivedAt => {
            const effects = publisher.subscribe(1, request, receivedAt * publisherRate);
            const answerAt = effects.length > 0
                ? receivedAt
                : receivedAt + random.nextInt(random.nextInt(2) === 0 ? 10 : 500);
            pending.push({
                deliverAt: answerAt,
                run: answeredAt => {
                    const { answer } = (effects[0] ?? publisher.drain(answeredAt * publisherRate)[0])!;
                    deliverLater(answeredAt, () => onAnswer(answer));
                },
            });
        });
    };
    const subscribe = (now: number, subscriber: Subscriber, viaRelay: boolean) => {
        const sentAt = now * subscriber.rate + subscriber.offset;
        exchange(now, subscriber.view.request(), viaRelay, answer => {
            subscriber.view.accept(answer);
            if (answer.permitMs !== undefined) {
                const grant = { sentAt, permitMs: answer.permitMs, version: answer.version };
                subscriber.permit.renew(grant, subscriber.view.version);
            }
        });
    };
    // Worst case: a request is answered at once, the drain follows immediately, and no later answer arrives.
    const drainAt = 3_000 + 10 * random.nextInt(6);
    const disconnectedFrom = random.nextInt(4) === 0 ? random.nextInt(6_000) : drainAt;
    let drained = false;
    for (let now = 0; now < 12_000; now += 10) {
        if (!drained && now >= drainAt) {
            drained = true;
            driver.drain("d", "hire-1");
            drain.onDrainApplied("endpoint", "hire-1", now * leaderRate);
        }
        for (const message of pending.splice(0)) {
            message.deliverAt <= now ? message.run(now) : pending.push(message);
        }
        if (now % 250 === 0 && now < disconnectedFrom) {
            const sentAt = now * relayRate;
            exchange(now, relay.request(sentAt), false, answer => void relay.accept(answer, sentAt));
        }
        if (now % 500 === 0) {
            subscribers.forEach((subscriber, index) => {
                if (index % 2 === 0 || now < disconnectedFrom) {
                    subscribe(now, subscriber, index % 2 === 0);
                }
            });
        }
        if (drained && drain.isEffective("endpoint", "hire-1", now * leaderRate)) {
            return subscribers.filter(({ view, permit, rate: subscriberRate, offset }) =>
                view.version < driver.store.version && permit.isValid(now * subscriberRate + offset)
            ).length;
        }
    }
    throw new Error("expected the drain to become effective within the simulated 12 s");
}

describe("send permits", () => {
    // Guards against an entry that sends new work to an endpoint after its release (R5).
    it("stop every entry from sending to a drained endpoint once the drain is effective", () => {
        fc.assert(
            fc.property(fc.integer(), seed => {
                expect(countSendersAfterDrain(seed, allRules)).to.equal(0);
            }),
            { seed: 12, numRuns: 150 },
        );
    });

    // Shows that the check above fails when permits don't expire.
    it("let an entry send to a drained endpoint when their expiry is turned off", () => {
        const runs = [...Array(150).keys()].map(seed =>
            countSendersAfterDrain(seed, { ...allRules, permitExpiry: false })
        );
        expect(Math.max(...runs)).to.be.greaterThan(0);
    });

    // Guards against a permit that a delayed answer extends, and one that is valid at an entry without the drain.
    it("count from the sending of the request and are valid only with the version of the grant", () => {
        const permit = new SendPermit();
        expect(permit.renew({ sentAt: 1_000, permitMs: 2_500, version: 7 }, 6)).to.equal(false);
        expect(permit.isValid(1_001)).to.equal(false);
        expect(permit.renew({ sentAt: 1_000, permitMs: 9_999, version: 7 }, 7)).to.equal(true);
        expect([permit.isValid(3_499), permit.isValid(3_500)]).to.deep.equal([true, false]);
        permit.renew({ sentAt: 500, permitMs: 2_500, version: 7 }, 7);
        expect(permit.validUntil).to.equal(3_500);
    });

    // Guards against permits of a deposed leader, and of a new leader that lacks a drain committed before its election.
    it("are granted only under a leader lease and after all entries of earlier terms were applied", () => {
        const grantor = new PermitGrantor();
        grantor.onElected();
        grantor.onLease(350);
        expect(grantor.grant(0, 100)).to.equal(undefined);
        grantor.onCurrentTermApplied();
        expect([grantor.grant(0, 349), grantor.grant(0, 350)]).to.deep.equal([2_500, undefined]);
        grantor.onDeposed();
        expect(grantor.grant(0, 100)).to.equal(undefined);
    });

    // Guards against a new leader that releases an endpoint based on instants of the earlier leader's clock.
    it("make a new leader wait for the full permit bound after its election", () => {
        const drain = new DrainTracker();
        drain.onDrainApplied("endpoint", "e", 0);
        drain.onElected(10_000);
        expect(drain.sinceAppliedMs("endpoint", "e", 10_400)).to.equal(400);
        drain.onDeposed();
        expect(drain.isEffective("endpoint", "e", 99_999)).to.equal(false);
    });
});
