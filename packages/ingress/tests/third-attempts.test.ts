import { expect } from "chai";
import type { Answer } from "./ingress-harness.ts";
import { begin, dead, events, first, rejectsAfter, sharedMs, sleep, StreamsInTurn } from "./streams-in-turn.ts";

describe("Relay with a third engine for a stream", () => {
    let streams: StreamsInTurn;

    beforeEach(() => {
        streams = new StreamsInTurn();
    });

    afterEach(async () => {
        await streams.close();
    });

    // Guards against a stream that is lost because the engine that would have gone on was closed beside one that had begun
    // nothing yet.
    it("keeps the second engine, which has begun an event, until the third one begins one", async () => {
        const pausing = begin(async (...[, res]) => {
            await sleep(300);
            res.write("id: 1\n");
            await sleep(1_500);
            res.end(events.join("").slice("id: 1\n".length));
        });
        const answer = await streams.play([
            dead,
            first(pausing, dead),
            first(rejectsAfter(700), dead),
        ]);
        expect(answer).to.include({ status: 200, complete: true, body: events.join("") });
        expect(streams.endpoints[1]?.requests.length).to.equal(1);
    });

    // Guards against a caller that waits until its deadline for a stream that broke while another engine was asked.
    it("answers before the deadline when the first engine resets its stream while the second one is asked", async () => {
        let onSecond = (): void => undefined;
        const secondAsked = new Promise<void>(resolve => onSecond = resolve);
        const breaks: Answer = async (...args) => {
            await secondAsked;
            await begin(async (...[, res]) => {
                res.write("id: 1\n");
                await sleep(50);
                res.socket?.resetAndDestroy();
            })(...args);
        };
        const rejects: Answer = async (...args) => {
            onSecond();
            await rejectsAfter(200)(...args);
        };
        // The second engine has not run the request, and no other one is left. At the deadline, the status is 504.
        expect(await streams.play([breaks, rejects])).to.include({ status: 502, complete: true });
    });

    // Guards against a stream that is lost by a closing time left over from an attempt that has ended.
    it("keeps the first engine when the second one breaks off its first event", async () => {
        const pausing = begin(async (...[, res]) => {
            res.write(events[0]);
            await sleep(2_500);
            res.end(events.slice(1).join(""));
        });
        const breaking = begin(async (...[, res]) => {
            res.write("id: ");
            await sleep(20);
            res.socket?.resetAndDestroy();
        });
        const answer = await streams.play([first(pausing, dead), breaking, first(rejectsAfter(700), dead)]);
        expect(answer).to.include({ status: 200, complete: true, body: events.join("") });
        expect(streams.endpoints[0]?.requests.length).to.equal(1);
    });

    // Guards against two engines that work on one stream for longer than allowed while a third one is silent.
    it("closes one of two silent engines that have both begun an event while a third one is silent", async () => {
        let onThird = (): void => undefined;
        const thirdAsked = new Promise<void>(resolve => onThird = resolve);
        const runs: { begunAt: number; endedAt: number; }[] = [];
        const beginsLate = (ms: number): Answer => async (...args) => {
            await thirdAsked;
            await sleep(ms);
            await begin((...[, res]) => {
                res.write("id: 1\n");
                const run = { begunAt: Date.now(), endedAt: Infinity };
                runs.push(run);
                res.once("close", () => run.endedAt = Date.now());
            })(...args);
        };
        await streams.play([beginsLate(50), beginsLate(60), () => onThird()]);
        await sleep(sharedMs);
        expect(runs.length).to.equal(2);
        const sharedForMs = Math.min(...runs.map(({ endedAt }) => endedAt)) - Math.max(...runs.map(r => r.begunAt));
        expect(sharedForMs < sharedMs, `both work for less than ${sharedMs} ms`).to.equal(true);
    });
});
