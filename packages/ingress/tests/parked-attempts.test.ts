import type { Endpoint } from "@lentilramp/fleet";
import { ManualClock } from "@lentilramp/runtime";
import { expect } from "chai";
import type { InFlightAttempt } from "../src/in-flight-attempt.ts";
import { ParkedAttempts, type ParkedProgress } from "../src/parked-attempts.ts";

const keptMs = 300;

describe("ParkedAttempts", () => {
    let clock: ManualClock;
    let closed: string[];
    let parked: ParkedAttempts;

    beforeEach(() => {
        clock = new ManualClock(1_000);
        closed = [];
        parked = new ParkedAttempts(clock, ({ endpoint }) => closed.push(`${endpoint.id} at ${clock.now() - 1_000}`));
    });

    function attempt(id: string): InFlightAttempt {
        return { endpoint: { id }, attempt: { abort: () => undefined } } as unknown as InFlightAttempt;
    }

    function park(inFlight: InFlightAttempt, keptFor = Infinity, progress: Partial<ParkedProgress> = {}): void {
        parked.park(inFlight, { hasProgress: false, isBroken: false, ...progress }, async () => true, keptFor);
    }

    function takeBack(id: string): void {
        expect(parked.takeBack((endpoint: Endpoint) => endpoint.id === id)?.inFlight.endpoint.id).to.equal(id);
    }

    const advance = (ms: number): void => clock.advanceTo(1_000 + ms);
    const [a, b, c] = [attempt("a"), attempt("b"), attempt("c")];

    // Guards against two engines that work on one stream for longer, the more often they are silent in turn.
    it("closes one of two attempts at the time set first, however often they change places", () => {
        park(a);
        advance(100);
        parked.closeWithin(keptMs, b);
        for (const ms of [150, 250, 350]) {
            advance(ms);
            park(ms === 250 ? a : b);
            takeBack(ms === 250 ? "b" : "a");
            parked.closeWithin(keptMs, ms === 250 ? b : a);
        }
        advance(399);
        expect(closed).to.deep.equal([]);
        advance(1_000);
        expect(closed).to.deep.equal(["b at 400"]);
    });

    // Guards against a sound engine that is left together with the one before it, while a third one has begun nothing.
    it("keeps one of two silent attempts until a third one begins an event", () => {
        park(a);
        advance(100);
        parked.closeWithin(keptMs, b);
        advance(350);
        park(b);
        advance(600);
        expect(closed).to.deep.equal(["a at 400"]);
        parked.closeWithin(keptMs, c);
        advance(2_000);
        expect(closed).to.deep.equal(["a at 400", "b at 900"]);
    });

    // Guards against closing the engine that has gone on instead of the one that is silent.
    it("closes the one of two silent attempts that has not gone on", () => {
        const progress = { hasProgress: false };
        parked.park(
            a,
            {
                isBroken: false,
                ...progress,
                get hasProgress() {
                    return progress.hasProgress;
                },
            },
            async () => true,
            Infinity,
        );
        advance(100);
        parked.closeWithin(keptMs, b);
        advance(350);
        park(b);
        progress.hasProgress = true;
        advance(2_000);
        expect(closed).to.deep.equal(["b at 400"]);
        takeBack("a");
    });

    // Guards against a closing time that is left over from an attempt whose endpoint has broken it off.
    it("keeps an attempt open when the one has ended beside which it was to be closed", () => {
        park(a);
        advance(100);
        parked.closeWithin(keptMs, b);
        advance(200);
        parked.recordEnd(b);
        advance(1_000);
        expect(closed).to.deep.equal([]);
        parked.closeWithin(keptMs, c);
        advance(2_000);
        expect(closed).to.deep.equal(["a at 1300"]);
    });

    // Guards against an endpoint without an engine that is left as early as the one that was silent before it.
    it("keeps each attempt for its own time from when another one was asked", () => {
        park(a, keptMs);
        advance(250);
        park(b, keptMs);
        advance(2_000);
        expect(closed).to.deep.equal(["a at 300", "b at 550"]);
    });

    it("closes an attempt without an engine at the time of the one that it was asked to replace", () => {
        park(a, keptMs);
        advance(250);
        park(b, keptMs);
        takeBack("a");
        advance(2_000);
        expect(closed).to.deep.equal(["b at 300"]);
    });

    // Guards against timers that close attempts of a request that has gone on without them.
    it("closes nothing more after all attempts have been closed or taken back", () => {
        park(a);
        parked.closeWithin(keptMs, b);
        takeBack("a");
        park(c);
        parked.closeAll();
        expect(closed).to.deep.equal(["c at 0"]);
        expect(parked.isEmpty).to.equal(true);
        park(a);
        advance(2_000);
        expect(closed).to.deep.equal(["c at 0"]);
    });
});
