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
 * Runs a leader, a relay and entries whose clocks run at wrong rates; messages take up to 3 s and the leader is cut off
 * for some time. Returns how many entries could send to the drained endpoint when its drain was said to be in force.
 */
function sendersAfterDrain(seed: number, switches: RuleSwitches): number {
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
    const pending: { at: number; run: (now: number) => void; }[] = [];
    const later = (now: number, run: (now: number) => void) => {
        const delay = random.nextInt(10) === 0 ? random.nextInt(3_000) : random.nextInt(20);
        pending.push({ at: now + delay, run });
    };
    /** Delivers a request, holds it as a publisher does, and delivers the answer of that moment. */
    const exchange = (
        now: number,
        request: SubscribeRequest,
        viaRelay: boolean,
        take: (a: SubscribeAnswer) => void,
    ) => {
        const rateOfPublisher = viaRelay ? relayRate : leaderRate;
        const publisher = viaRelay
            ? new ConfigurationPublisher(relay, relay)
            : new ConfigurationPublisher(driver.store, grantor);
        later(now, received => {
            const effects = publisher.subscribe(1, request, received * rateOfPublisher);
            const answerAt = effects.length > 0
                ? received
                : received + random.nextInt(random.nextInt(2) === 0 ? 10 : 500);
            pending.push({
                at: answerAt,
                run: answered => {
                    const { answer } = (effects[0] ?? publisher.drain(answered * rateOfPublisher)[0])!;
                    later(answered, () => take(answer));
                },
            });
        });
    };
    const ask = (now: number, subscriber: Subscriber, viaRelay: boolean) => {
        const sentAt = now * subscriber.rate + subscriber.offset;
        exchange(now, subscriber.view.request(), viaRelay, answer => {
            subscriber.view.accept(answer);
            if (answer.permitMs !== undefined) {
                const grant = { sentAt, permitMs: answer.permitMs, version: answer.version };
                subscriber.permit.renew(grant, subscriber.view.version);
            }
        });
    };
    // The worst case is a request answered at once, a drain just after it, and no later answer.
    const drainAt = 3_000 + 10 * random.nextInt(6);
    const cutFrom = random.nextInt(4) === 0 ? random.nextInt(6_000) : drainAt;
    let drained = false;
    for (let now = 0; now < 12_000; now += 10) {
        if (!drained && now >= drainAt) {
            drained = true;
            driver.drain("d", "hire-1");
            drain.onDrainApplied("endpoint", "hire-1", now * leaderRate);
        }
        for (const message of pending.splice(0)) {
            message.at <= now ? message.run(now) : pending.push(message);
        }
        if (now % 250 === 0 && now < cutFrom) {
            const sentAt = now * relayRate;
            exchange(now, relay.request(sentAt), false, answer => void relay.accept(answer, sentAt));
        }
        if (now % 500 === 0) {
            subscribers.forEach((subscriber, index) => {
                if (index % 2 === 0 || now < cutFrom) {
                    ask(now, subscriber, index % 2 === 0);
                }
            });
        }
        if (drained && drain.isEffective("endpoint", "hire-1", now * leaderRate)) {
            return subscribers.filter(({ view, permit, rate: own, offset }) =>
                view.version < driver.store.version && permit.isValid(now * own + offset)
            ).length;
        }
    }
    throw new Error("the drain was never said to be in force");
}

describe("send permits", () => {
    // Guards against an entry that sends new work to an endpoint after its release (R5).
    it("let no entry send to a drained endpoint once the drain is in force", () => {
        fc.assert(
            fc.property(fc.integer(), seed => {
                expect(sendersAfterDrain(seed, allRules)).to.equal(0);
            }),
            { seed: 12, numRuns: 150 },
        );
    });

    // Shows that the check above fails when permits do not expire.
    it("leave an entry sending when their expiry is turned off", () => {
        const runs = [...Array(150).keys()].map(seed => sendersAfterDrain(seed, { ...allRules, permitExpiry: false }));
        expect(Math.max(...runs)).to.be.greaterThan(0);
    });

    // Guards against a permit prolonged by a slow answer, and one that counts for an entry that missed the drain.
    it("count from the sending of the request and only with the version of the grant", () => {
        const permit = new SendPermit();
        expect(permit.renew({ sentAt: 1_000, permitMs: 2_500, version: 7 }, 6)).to.equal(false);
        expect(permit.isValid(1_001)).to.equal(false);
        expect(permit.renew({ sentAt: 1_000, permitMs: 9_999, version: 7 }, 7)).to.equal(true);
        expect([permit.isValid(3_499), permit.isValid(3_500)]).to.deep.equal([true, false]);
        permit.renew({ sentAt: 500, permitMs: 2_500, version: 7 }, 7);
        expect(permit.validUntil).to.equal(3_500);
    });

    // Guards against permits of a deposed leader, and of a new one that lacks a drain committed before its election.
    it("are granted only under a lease with all earlier entries applied", () => {
        const grantor = new PermitGrantor();
        grantor.onElected();
        grantor.onLease(350);
        expect(grantor.grant(0, 100)).to.equal(undefined);
        grantor.onCurrentTermApplied();
        expect([grantor.grant(0, 349), grantor.grant(0, 350)]).to.deep.equal([2_500, undefined]);
        grantor.onDeposed();
        expect(grantor.grant(0, 100)).to.equal(undefined);
    });

    // Guards against a new leader that releases an endpoint by the figures of the earlier leader's clock.
    it("make a new leader wait the whole bound from its election", () => {
        const drain = new DrainTracker();
        drain.onDrainApplied("endpoint", "e", 0);
        drain.onElected(10_000);
        expect(drain.sinceAppliedMs("endpoint", "e", 10_400)).to.equal(400);
        drain.onDeposed();
        expect(drain.isEffective("endpoint", "e", 99_999)).to.equal(false);
    });
});
