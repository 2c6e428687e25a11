import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { PlannedStop } from "../src/planned-stop.ts";
import { type Answer, type CallerAnswer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const graceMs = 2_000;
/** For requests that must be served in the stop, which ends when callers' kept addresses have expired. */
const longStop = { graceMs: 8_000, lingerMs: 1_000 };
/** Time budget that ends long after the grace time. */
const longBudget = { "x-deadline-ms": "30000" };
const neverAnswers: Answer = () => undefined;

describe("PlannedStop", () => {
    const begun = (): PlannedStop => {
        const plannedStop = new PlannedStop(8_000);
        plannedStop.begin(100_000);
        return plannedStop;
    };

    // Guards against a stop in which the answers of the ingress are not written, or in which streams that may still end
    // are broken off before the last sixth of the grace time.
    it("answers requests before it closes connections, and closes them late in the grace time", () => {
        const { answerAt, closeAt } = begun();
        expect(closeAt).to.be.within(100_000 + 8_000 * 5 / 6, 108_000 - 500);
        expect(answerAt).to.be.below(closeAt - 200);
    });

    it("leaves time for a request by what it is expected to take, or by its deadline if that is earlier", () => {
        const plannedStop = begun();
        const leavesTime = (expectedMs: number | undefined, deadline: number): boolean =>
            plannedStop.leavesTimeFor({ expectedMs, deadline }, 101_000);
        expect(leavesTime(100, 130_000)).to.equal(true);
        expect(leavesTime(3_500, 130_000)).to.equal(false);
        expect(leavesTime(undefined, 130_000)).to.equal(false);
        expect(leavesTime(undefined, 106_000)).to.equal(true);
        expect(leavesTime(20_000, 106_000)).to.equal(true);
        plannedStop.stopTaking();
        expect(leavesTime(100, 101_100)).to.equal(false);
    });
});

describe("planned stop of an ingress", () => {
    let endpoint: ScriptedEndpoint;
    let ingress: IngressHarness;

    async function start(
        answer: Answer,
        route: Partial<CatalogRoute> = {},
        options: { graceMs?: number; lingerMs?: number; } = {},
    ): Promise<void> {
        endpoint = new ScriptedEndpoint("e1", answer);
        await endpoint.start();
        ingress = await IngressHarness.start(
            testCatalog({ routes: [testRoute({ timeoutMs: 30_000, firstByteTargetMs: 10_000, ...route })] }),
            [endpoint],
            {},
            { graceMs, ...options },
        );
    }

    afterEach(async () => {
        await ingress.close();
        endpoint.close();
    });

    const post = (headers: Record<string, string> = longBudget): Promise<CallerAnswer> =>
        ingress.call({ method: "POST", body: "x", headers });

    async function until(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }

    /** Sends enough requests that the times of the answers are known. */
    async function learnAnswerTimes(): Promise<void> {
        for (let i = 0; i < 8; i++) {
            await post();
        }
    }

    const stop = async (): Promise<void> => {
        const stopping = ingress;
        await stopping.drain();
        await stopping.close();
    };

    const streamHead = { "x-attempt-id": "attempt-1", "x-response-seal": "s", "content-type": "text/event-stream" };
    const event = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;

    // Guards against breaking off a stream while most of a short grace time is left: one second of it was kept for
    // closing.
    it("lets a stream end that needs more than half of a short grace time", async () => {
        await start((req, res) => {
            void req;
            res.writeHead(200, streamHead);
            res.write(event(1));
            void until(() => ingress.clock.now() >= stopAt + 0.55 * graceMs).then(() => res.end(event(2)));
        }, { execution: "stream" });
        let stopAt = Infinity;
        const answer = post();
        await until(() => endpoint.requests.length === 1);
        stopAt = ingress.clock.now();
        await stop();
        expect(await answer).to.include({ status: 200, body: event(1) + event(2), complete: true });
    });

    // Guards against closing the connection of a request that an endpoint still works on when the grace time ends.
    it("answers a request in progress truthfully before the connection closes", async () => {
        await start(neverAnswers, { execution: "at-most-once" });
        const answer = post();
        await until(() => endpoint.requests.length === 1);
        await stop();
        expect((await answer).status).to.be.oneOf([502, 504]);
    });

    // Guards against a log that says of a request which an endpoint worked on that it has not run.
    it("logs a request in progress that it ends as one that may have run", async () => {
        await start(neverAnswers, { execution: "at-most-once" });
        const answer = post();
        await until(() => endpoint.requests.length === 1);
        await stop();
        await answer;
        const givenUp = ingress.log.events.find(({ name }) => name === "request.given-up");
        expect(givenUp?.fields).to.include({ reason: "stopping", runs: 1 });
    });

    // Guards against passing on requests that are cut when the grace time ends.
    it("refuses a request at once whose answer may not end in time", async () => {
        await start(neverAnswers, { execution: "at-most-once" });
        const stopped = stop();
        const answer = await post();
        expect(answer.status).to.equal(503);
        expect(Number(answer.headers["retry-after"])).to.be.above(0);
        const givenUp = ingress.log.events.find(({ name }) => name === "request.given-up");
        expect(givenUp?.fields).to.include({ reason: "stopping", runs: 0, longestMs: undefined });
        expect(givenUp?.fields.leftMs).to.be.within(0, graceMs);
        expect(endpoint.requests).to.have.length(0);
        await stopped;
    });

    // Guards against refusing what a stopping ingress can still serve: all requests were refused after a fixed part of
    // the time in which callers keep its address.
    it("serves a request with a long time budget on a route whose answers are known to be short", async () => {
        const { lingerMs } = longStop;
        await start(sealed(200, "ok"), { execution: "at-most-once" }, longStop);
        await learnAnswerTimes();
        const stopped = stop();
        const refusedBeforeMs = lingerMs * 0.45;
        const startedAt = ingress.clock.now();
        await until(() => ingress.clock.now() > startedAt + refusedBeforeMs);
        expect(await post()).to.include({ status: 200, body: "ok" });
        await stopped;
    });

    // Guards against passing on a request that has waited for a slot when its answer may no longer end in time.
    it("refuses a request that waits for a slot when its answer may not end in time", async () => {
        await start(neverAnswers, { execution: "at-most-once" });
        const { slots } = endpoint.endpoint;
        const sent = Array.from({ length: slots + 1 }, () => post());
        await until(() => endpoint.requests.length === sent.length);
        const waiting = post();
        await until(() => ingress.relay.waiting === 1);
        const stopped = stop();
        expect((await waiting).status).to.equal(503);
        expect(endpoint.requests).to.have.length(sent.length);
        await Promise.all(sent);
        await stopped;
    });

    const headOf = (length: number, id = "attempt-1"): string =>
        `POST /x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: ${id}\r\nApi-Key: key-1\r\n`
        + `X-Deadline-Ms: 30000\r\nContent-Length: ${length}\r\n\r\n`;

    // Guards against admission by the time at which the head came: a body can take long.
    it("refuses a request whose body ends when its answer may not end in time", async () => {
        await start(neverAnswers, { execution: "at-most-once" });
        const caller = await ingress.connect();
        caller.send(`${headOf(4)}ab`);
        await until(() => ingress.relay.requestsInFlight === 1);
        const stopped = stop();
        caller.send("cd");
        await caller.closed();
        expect(caller.statuses).to.deep.equal([503]);
        expect(endpoint.requests).to.have.length(0);
        await stopped;
    });

    // Guards against closing the connection of a caller that still sends its request, which then looks as if it may have
    // run.
    it("refuses a request whose body has not ended before the connection closes", async () => {
        await start(neverAnswers, { execution: "at-most-once" });
        const before = await ingress.connect();
        before.send(`${headOf(4)}ab`);
        await until(() => ingress.relay.requestsInFlight === 1);
        const stopped = stop();
        await until(() => ingress.relay.stop.takesNone(ingress.clock.now()));
        const after = await ingress.connect();
        after.send(`${headOf(4)}ab`);
        await Promise.all([before.closed(), after.closed()]);
        expect([before.statuses, after.statuses]).to.deep.equal([[503], [503]]);
        await stopped;
    });

    // Guards against announcing the close of a connection with the first of two pipelined answers: the second request was
    // passed on and its answer lost.
    it("answers pipelined requests before it closes their connection", async () => {
        await start(sealed(200, "ok"), { execution: "at-most-once" }, longStop);
        await learnAnswerTimes();
        const caller = await ingress.connect();
        const stopped = stop();
        caller.send(headOf(0, "first") + headOf(0, "second"));
        await caller.closed();
        expect(caller.statuses).to.deep.equal([200, 200]);
        expect(caller.received.match(/Connection: close/gi)).to.have.length(1);
        await stopped;
    });

    // Guards against passing on a request that comes after an answer that announces the close of its connection.
    it("does not pass on a request that can no longer be answered on its connection", async () => {
        let endFirst: () => void = () => undefined;
        await start(
            (req, res) => {
                res.writeHead(200, { ...streamHead, "x-attempt-id": String(req.headers["x-attempt-id"]) });
                res.write(event(1));
                if (req.headers["x-attempt-id"] === "first") {
                    endFirst = () => res.end(event(2));
                }
                else {
                    res.end();
                }
            },
            { execution: "stream" },
            longStop,
        );
        await learnAnswerTimes();
        const caller = await ingress.connect();
        const stopped = stop();
        caller.send(headOf(0, "first"));
        await caller.receive(event(1));
        caller.send(headOf(0, "second"));
        const attemptIds = (): unknown[] => endpoint.requests.map(({ headers }) => headers["x-attempt-id"]);
        const isDropped = (): boolean => ingress.log.events.some(({ name }) => name === "request.dropped");
        await until(() => isDropped() || attemptIds().includes("second"));
        endFirst();
        await caller.closed();
        expect(caller.statuses).to.deep.equal([200]);
        expect(caller.received).to.contain(event(2));
        expect(attemptIds()).to.include("first").and.not.include("second");
        await stopped;
    });

    // Guards against closing a connection while the end of an answer waits for a caller that reads slowly.
    it("closes a connection only when its caller has taken the whole answer", async () => {
        const answerBytes = 16_000_000;
        await start(sealed(200, "ok"), {}, longStop);
        ingress.relay.handle = async (...[, res]) => void res.end(Buffer.alloc(answerBytes, "x"));
        const caller = await ingress.connect();
        caller.send(headOf(0));
        await caller.receive("x");
        caller.pause();
        const stopped = stop();
        await until(() => ingress.relay.stop.takesNone(ingress.clock.now()));
        caller.resume();
        await caller.closed();
        expect(caller.received.length).to.be.above(answerBytes);
        await stopped;
    });

    // Guards against dropping a request whose head ends while the ingress closes its connections.
    it("refuses a request that ends while the connections are being closed", async () => {
        await start(sealed(200, "ok"));
        const caller = await ingress.connect();
        const [firstPart, rest] = [headOf(0).slice(0, 20), headOf(0).slice(20)];
        caller.send(firstPart);
        const stopped = stop();
        await until(() => ingress.relay.stop.takesNone(ingress.clock.now()));
        caller.send(rest);
        await caller.closed();
        expect(caller.statuses).to.deep.equal([503]);
        expect(endpoint.requests).to.have.length(0);
        await stopped;
    });
});
