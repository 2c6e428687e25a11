import { expect } from "chai";
import type { ServerResponse } from "node:http";
import { type Answer, RunningTime, sealed } from "./ingress-harness.ts";
import { begin, dead, events, first, rejectsAfter, sharedMs, sleep, StreamsInTurn } from "./streams-in-turn.ts";

const wholeStream = { status: 200, complete: true, body: events.join("") };

/** Something that one engine waits for and another one causes. */
class Signal {
    fire: () => void = () => undefined;
    readonly fired = new Promise<void>(resolve => this.fire = resolve);
}

describe("Relay with parked attempts beside a third one", () => {
    let streams: StreamsInTurn;
    let time: RunningTime;

    beforeEach(() => {
        streams = new StreamsInTurn();
        time = new RunningTime();
    });

    afterEach(async () => {
        time.close();
        await streams.close();
    });

    const requestsAt = (index: number): number | undefined => streams.endpoints[index]?.requests.length;

    // Guards against two engines that work on one stream for longer than allowed because the one that was taken back goes on
    // inside an event and not with a new one.
    it("closes a parked engine that begins beside one that was taken back and goes on inside an event", async () => {
        const rejected = new Signal();
        const runs: { begunAt: number; endedAt: number; }[] = [];
        const recordRun = (res: ServerResponse): void => {
            const run = { begunAt: time.now(), endedAt: Infinity };
            runs.push(run);
            res.once("close", () => run.endedAt = time.now());
        };
        const pieces = Array<string>(24).fill("x");
        const insideEvent = begin(async (...[, res]) => {
            res.write(`${events[0]}id: 2\ndata: b`);
            await rejected.fired;
            await sleep(50);
            recordRun(res);
            for (const piece of pieces) {
                res.write(piece);
                await sleep(50);
            }
            res.end(`\n\n${events[2]}`);
        });
        const late = begin(async (...[, res]) => {
            await rejected.fired;
            await sleep(100);
            recordRun(res);
            res.write("id: 2\n");
        });
        const rejects: Answer = async (...args) => {
            await rejectsAfter(0)(...args);
            rejected.fire();
        };
        const answer = await streams.play([first(insideEvent, dead), first(late, dead), rejects], { gapTargetMs: 300 });
        expect(answer).to.include({
            status: 200,
            complete: true,
            body: `${events[0]}id: 2\ndata: b${pieces.join("")}\n\n${events[2]}`,
        });
        expect(runs.length).to.equal(2);
        const sharedForMs = Math.min(...runs.map(r => r.endedAt)) - Math.max(...runs.map(r => r.begunAt));
        expect(sharedForMs < sharedMs, `both work for less than ${sharedMs} ms`).to.equal(true);
    });

    const breaks: [string, (res: ServerResponse) => void][] = [
        ["resets its connection", res => res.socket?.resetAndDestroy()],
        ["ends its answer", res => res.end()],
    ];
    for (const [title, end] of breaks) {
        // Guards against a stream that is lost because a sound engine was closed beside one that had broken its first event
        // off while nobody read it.
        it(`keeps a parked engine that has begun beside one that ${title} inside its first event`, async () => {
            const thirdAsked = new Signal();
            const firstBegun = new Signal();
            const secondBegun = new Signal();
            const breaking: Answer = async (...args) => {
                await thirdAsked.fired;
                await sleep(30);
                await begin(async (...[, res]) => {
                    res.write("id: 1\n");
                    firstBegun.fire();
                    await sleep(150);
                    end(res);
                })(...args);
            };
            const sound = begin(async (...[, res]) => {
                await firstBegun.fired;
                await sleep(30);
                res.write("id: 1\n");
                secondBegun.fire();
                await sleep(900);
                res.end(events.join("").slice("id: 1\n".length));
            });
            const rejects: Answer = async (...args) => {
                thirdAsked.fire();
                await secondBegun.fired;
                await rejectsAfter(330)(...args);
            };
            const answer = await streams.play([first(breaking, dead), first(sound, dead), first(rejects, dead)]);
            expect(answer).to.include(wholeStream);
            expect(requestsAt(1)).to.equal(1);
        });
    }

    // Guards against a stream that is lost although a parked engine has written all of it: another one, which had sent one
    // event, was kept instead.
    it("keeps a parked engine whose answer is complete beside one that stops after an event", async () => {
        const thirdAsked = new Signal();
        const written = new Signal();
        const complete: Answer = async (...args) => {
            await thirdAsked.fired;
            await sealed(200, events.join(""))(...args);
            written.fire();
        };
        const stops = begin(async (...[, res]) => {
            await written.fired;
            await sleep(30);
            res.write(events[0]);
        });
        const silent: Answer = () => thirdAsked.fire();
        const answer = await streams.play([first(complete, dead), first(stops, dead), first(silent, dead)]);
        expect(answer).to.include(wholeStream);
        expect(requestsAt(0)).to.equal(1);
    });

    // Guards against a stream that is lost because its sound engine, which had begun while a silent one was in progress, was
    // closed when that one was parked again.
    it("keeps a parked engine that has begun beside a silent one that is parked for the second time", async () => {
        const rejected = new Signal();
        const lateBegun = new Signal();
        const stops = begin((...[, res]) => void res.write(events[0]));
        const late = begin(async (...[, res]) => {
            await rejected.fired;
            await sleep(100);
            res.write("id: 2\n");
            lateBegun.fire();
            await sleep(900);
            res.end(events.slice(1).join("").slice("id: 2\n".length));
        });
        const rejects: Answer = async (...args) => {
            await rejectsAfter(0)(...args);
            rejected.fire();
        };
        const answer = await streams.play(
            [first(stops, dead), first(late, dead), first(rejects, dead), first(rejectsAfter(700), dead)],
            {},
            lateBegun.fired,
        );
        expect(answer).to.include(wholeStream);
        expect(requestsAt(1)).to.equal(1);
    });
});
