import { expect } from "chai";
import { type Answer, IngressHarness, RunningTime, ScriptedEndpoint } from "./ingress-harness.ts";
import { streamCatalog } from "./stream-catalog.ts";

/** Longest time for which two engines may work on one stream, in milliseconds. */
const sharedMs = 400;
const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Instants are those of {@link RunningTime}. */
interface Run {
    begunAt: number;
    endedAt: number;
}

/** Begins its first event after `ms` milliseconds and writes nothing more. */
function beginsAfter(ms: number, runs: Run[], time: RunningTime): Answer {
    return async (req, res) => {
        await sleep(ms);
        if (res.destroyed) {
            return;
        }
        res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
        res.write("id: 1\n");
        const run = { begunAt: time.now(), endedAt: Infinity };
        runs.push(run);
        res.once("close", () => run.endedAt = time.now());
    };
}

/**
 * Plays one stream. The first engine is silent until the second one has been asked; each then begins an event after the
 * given time, in milliseconds. Returns for how long both worked on the stream, and whether they changed places.
 */
async function play(
    firstBeginsAfterMs: number,
    secondBeginsAfterMs: number,
    time: RunningTime,
): Promise<{ sharedForMs: number; changed: boolean; }> {
    const runs: Run[] = [];
    let onSecond = (): void => undefined;
    const secondAsked = new Promise<void>(resolve => onSecond = resolve);
    let asked = 0;
    const answer: Answer = async (req, res, received) => {
        if (++asked === 1) {
            await secondAsked;
            await beginsAfter(firstBeginsAfterMs, runs, time)(req, res, received);
            return;
        }
        onSecond();
        await beginsAfter(secondBeginsAfterMs, runs, time)(req, res, received);
    };
    const endpoints = [new ScriptedEndpoint("e1", answer), new ScriptedEndpoint("e2", answer)];
    for (const endpoint of endpoints) {
        await endpoint.start();
    }
    const ingress = await IngressHarness.start(
        streamCatalog({ timeoutMs: 20_000, firstByteTargetMs: 10_000, maxAttempts: 2 }),
        endpoints,
        {},
        { retryRatio: 0.5, retryReserve: 10 },
    );
    try {
        await ingress.call({
            method: "POST",
            body: "x",
            headers: { "x-deadline-ms": "4000", "x-attempt-id": "1" },
        });
        await sleep(sharedMs);
        expect(asked).to.equal(2);
        const [first, second] = runs;
        const sharedForMs = first === undefined || second === undefined
            ? 0
            : Math.min(first.endedAt, second.endedAt) - second.begunAt;
        return { sharedForMs, changed: ingress.log.events.some(({ name }) => name === "request.taken-back") };
    }
    finally {
        await ingress.close();
        endpoints.forEach(endpoint => endpoint.close());
    }
}

// Guards against two engines that work on one stream for longer than allowed, because each change from one silent
// attempt to the other begins the time anew for which the attempt that is left is kept open.
describe("Relay with two attempts that are silent in turn", () => {
    it("closes one of them in time, whenever each of them begins", async () => {
        const cases = [350, 450, 500, 550].flatMap(second =>
            [60, 120, 180, 240].map(ms => ({ second, first: second + ms }))
        );
        const time = new RunningTime();
        const plays = await Promise.all(cases.map(({ first, second }) => play(first, second, time)));
        time.close();
        const shared = plays.map(({ sharedForMs }) => sharedForMs);
        const tooLong = cases.flatMap(({ first, second }, i) =>
            shared[i] !== undefined && shared[i] < sharedMs ? [] : [`${first} ms, ${second} ms: ${shared[i]} ms`]
        );
        expect(tooLong).to.deep.equal([]);
        expect(shared.filter(ms => ms > 0).length).to.be.above(cases.length / 2);
        // The time would not be begun anew if the engines did not change places.
        expect(plays.some(({ changed, sharedForMs }) => changed && sharedForMs > 0)).to.equal(true);
    });
});
