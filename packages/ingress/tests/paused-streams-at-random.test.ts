import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { type Answer, IngressHarness, RunningTime, ScriptedEndpoint, sealed } from "./ingress-harness.ts";
import { streamCatalog } from "./stream-catalog.ts";

const eventCount = 8;
const streamCount = 60;
const maxAttempts = 2;
/** Longest time for which two engines may work on one stream, in milliseconds. */
const sharedMs = 400;
const whole = Array.from({ length: eventCount }, (...[, i]) => `id: ${i + 1}\ndata: ${i}\n\n`);
const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** One run of a stream at an engine, from its first event on; instants are those of {@link RunningTime}. */
interface Run {
    id: string;
    endpoint: number;
    begunAt: number;
    endedAt: number;
}

// Guards against streams that are lost, run at too many engines, or run at two engines at once, in any order of pauses.
describe("Relay with engines that pause and reject at random", () => {
    for (const seed of [1, 2, 3]) {
        it(`relays each stream whole, seed ${seed}`, async () => {
            const random = new SeededRandom(seed);
            const runs: Run[] = [];
            const time = new RunningTime();
            const engineOf = (endpoint: number): Answer => async (req, res, received) => {
                const id = String(req.headers["x-attempt-id"]);
                await sleep(random.next() < 0.1 ? 900 * random.next() : 30 * random.next());
                if (random.next() < (req.headers["last-event-id"] === undefined ? 0.1 : 0.6)) {
                    await sealed(503, "", { "x-not-executed": "1" })(req, res, received);
                    return;
                }
                if (res.destroyed) {
                    return;
                }
                res.writeHead(200, { "x-attempt-id": id, "x-response-seal": "s" });
                const run: Run = { id, endpoint, begunAt: time.now(), endedAt: Infinity };
                runs.push(run);
                res.once("close", () => run.endedAt = time.now());
                for (const event of whole.slice(Number(req.headers["last-event-id"] ?? 0))) {
                    const split = random.next() < 0.1 ? 6 : event.length;
                    res.write(event.slice(0, split));
                    await sleep(random.next() < 0.1 ? 300 + 900 * random.next() : 20);
                    res.write(event.slice(split));
                    if (res.destroyed) {
                        return;
                    }
                }
                res.end();
            };
            const endpoints = [0, 1, 2].map(i => new ScriptedEndpoint(`e${i + 1}`, engineOf(i)));
            for (const endpoint of endpoints) {
                await endpoint.start();
            }
            const ingress = await IngressHarness.start(
                streamCatalog({ timeoutMs: 20_000, firstByteTargetMs: 10_000, maxAttempts }),
                endpoints,
                {},
                { retryRatio: 0.5, retryReserve: 10 },
            );
            try {
                const ids = Array.from({ length: streamCount }, (...[, i]) => `s${i}`);
                const answers = await Promise.all(ids.map(async (id, i) => {
                    await sleep(i * 40);
                    return await ingress.call({
                        method: "POST",
                        body: "x",
                        headers: { "x-deadline-ms": "20000", "x-attempt-id": id },
                    });
                }));
                const lost = answers.flatMap(({ status, complete, body }, i) =>
                    complete && (status === 503 || status === 200 && body === whole.join(""))
                        ? []
                        : [`${ids[i]} ${status}`]
                );
                expect(lost).to.deep.equal([]);
                // Without a run, a request may be refused when its endpoints have rejected it.
                expect(answers.filter(({ status }) => status === 200).length).to.be.above(streamCount / 2);
                // An engine sees a little after the caller that a stream has ended.
                await sleep(sharedMs);
                expect(runs.filter(({ endedAt }) => endedAt === Infinity)).to.deep.equal([]);
                for (const id of ids) {
                    const own = runs.filter(run => run.id === id);
                    expect(new Set(own.map(({ endpoint }) => endpoint)).size).to.be.at.most(maxAttempts);
                    own.forEach((run, i) => {
                        // The earlier run may go on when the later one has ended.
                        own.slice(i + 1).forEach(({ begunAt, endedAt }) =>
                            expect(Math.min(run.endedAt, endedAt) - begunAt).to.be.below(sharedMs)
                        );
                    });
                }
                expect(ingress.log.events.some(({ name }) => name === "request.taken-back")).to.equal(true);
            }
            finally {
                time.close();
                await ingress.close();
                endpoints.forEach(endpoint => endpoint.close());
            }
        });
    }
});
