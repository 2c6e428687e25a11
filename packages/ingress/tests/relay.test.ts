import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import type { Agent, IncomingMessage } from "node:http";
import { testCatalog, testRoute, testWorkspace } from "../../catalog/tests/fixtures.ts";
import { type Answer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

describe("Relay", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let ingress: IngressHarness | undefined;

    async function start(
        answers: Answer[],
        route: Partial<CatalogRoute> = {},
    ): Promise<IngressHarness> {
        endpoints = answers.map((answer, i) => new ScriptedEndpoint(`e${i + 1}`, answer));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        ingress = await IngressHarness.start(testCatalog({ routes: [testRoute(route)] }), endpoints);
        return ingress;
    }

    afterEach(async () => {
        await ingress?.close();
        endpoints.forEach(endpoint => endpoint.close());
        ingress = undefined;
        endpoints = [];
    });

    const sends = (): number => endpoints.reduce((sum, endpoint) => sum + endpoint.seen.length, 0);

    it("passes method, path, query and body on unchanged and drops what concerns one connection", async () => {
        const { call } = await startBound([sealed(201, "made", { "x-own": "kept", "keep-alive": "timeout=7" })], {
            execution: "at-most-once",
        });
        const answer = await call({
            method: "POST",
            path: "/a%20b/c?d=1&d=2",
            body: "body\u00ff",
            headers: { connection: "x-hop", "x-hop": "1", "x-tenant": "forged", "x-hold": "h", "x-end": "kept" },
        });
        expect(answer).to.include({ status: 201, body: "made", complete: true });
        expect(answer.headers["x-own"]).to.equal("kept");
        const [seen] = endpoints[0]?.seen ?? [];
        expect(seen).to.include({ method: "POST", target: "/a%20b/c?d=1&d=2" });
        expect(seen?.headers).to.include({ "x-tenant": "w", "x-expected-instance": "e1", "x-end": "kept" });
        expect(seen?.headers).to.not.have.any.keys("api-key", "x-hold", "x-hop");
        expect(Number(seen?.headers["x-deadline-ms"])).to.be.within(1, 2_000);
    });

    async function startBound(...args: Parameters<typeof start>) {
        const harness = await start(...args);
        return { call: harness.call.bind(harness), harness };
    }

    it("never repeats an at-most-once request whose connection was reset after it was sent", async () => {
        const reset = (req: { socket: { resetAndDestroy(): unknown; }; }): void => void req.socket.resetAndDestroy();
        const { call } = await startBound([reset, reset], { execution: "at-most-once" });
        const answer = await call({ method: "POST", body: "x" });
        expect(answer.status).to.equal(502);
        expect(answer.headers["retry-after"]).to.equal(undefined);
        expect(sends()).to.equal(1);
    });

    it("sends an at-most-once request elsewhere once an endpoint has said that it did not run it", async () => {
        const full = sealed(503, "full", { "x-not-executed": "1" });
        const { call } = await startBound([full, sealed(200, "ok")], { execution: "at-most-once", maxAttempts: 1 });
        const answers = [await call({ method: "POST", body: "x" }), await call({ method: "POST", body: "x" })];
        expect(answers.map(({ status }) => status)).to.deep.equal([200, 200]);
        expect(endpoints[1]?.seen).to.have.length(2);
    });

    it("repeats an idempotent request that an endpoint failed, and gives the caller one answer", async () => {
        const { call } = await startBound([sealed(500, "broken"), sealed(200, "ok")]);
        for (let i = 0; i < 4; i++) {
            expect(await call({})).to.include({ status: 200, body: "ok" });
        }
    });

    // An ingress that started while nobody led kept the reserve of two ingresses for its lifetime.
    it("keeps to its part of the shared reserve of repetitions when it learns how many ingresses there are", async () => {
        const { harness } = await startBound([sealed(200, "ok")]);
        const taken = (): number => {
            let count = 0;
            while (harness.relay.retryBudget("app").tryWithdraw(harness.clock.now())) {
                count++;
            }
            return count;
        };
        harness.relay.retryBudget("app");
        harness.view.applySyncAnswer(
            { leading: false, stewards: [], members: 5 },
            harness.clock.now(),
        );
        expect(taken()).to.be.within(1, harness.options.retryReserve / 5);
    });

    // Each request left a listener on the kept connection for as long as that lived.
    it("leaves nothing behind on a kept connection", async () => {
        const { call, harness } = await startBound([sealed(200, "ok")]);
        const listeners = (): number[] => {
            const [endpoint] = harness.view.endpoints.all;
            const { agent } = harness.relay.pool.requestOptions(endpoint!, 4);
            const sockets = Object.values((agent as Agent).freeSockets).flatMap(free => free ?? []);
            return sockets.map(socket => socket.listenerCount("close") + socket.listenerCount("data"));
        };
        const callOften = async (times: number): Promise<void> => {
            for (let i = 0; i < times; i++) {
                await call({});
            }
        };
        await callOften(2);
        const before = listeners();
        await callOften(20);
        expect(before).to.have.length(1);
        expect(listeners()).to.deep.equal(before);
    });

    // Usage reports were off by 18 in 100 while endpoints failed: repeated requests counted twice, failed streams not.
    it("counts a request once in the usage of its workspace, also when it is repeated or fails as a stream", async () => {
        const first = await startBound([sealed(500, "broken"), sealed(200, "ok")]);
        for (let i = 0; i < 4; i++) {
            await first.call({});
        }
        const counted = (harness: IngressHarness): number =>
            Object.values(harness.view.usage.snapshot()).reduce((sum, counts) => sum + (counts.w ?? 0), 0);
        expect(sends()).to.be.above(4);
        expect(counted(first.harness)).to.equal(4);
        await first.harness.close();
        const second = await startBound([sealed(500, "broken")], { execution: "stream" });
        await second.call({ method: "POST", body: "x" });
        expect(counted(second.harness)).to.equal(1);
    });

    it("does not turn a status that promises 'not run' into such a promise for a request that has run", async () => {
        const { call } = await startBound([sealed(503, "ran")], { execution: "at-most-once" });
        expect((await call({ method: "POST", body: "x" })).status).to.equal(502);
    });

    it("drops a success without a seal and one that answers another request", async () => {
        const other = sealed(200, "other", { "x-attempt-id": "attempt-0" });
        const unsealed: typeof other = (req, res) => {
            res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]) }).end("unsealed");
        };
        const { call } = await startBound([unsealed], { execution: "at-most-once" });
        expect((await call({ method: "POST", body: "x" })).status).to.equal(502);
        endpoints[0]!.answer = other;
        expect((await call({ method: "POST", body: "x" })).status).to.equal(502);
    });

    const unframed = (body: string, end: (req: IncomingMessage) => void): Answer => (req, res) => {
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
        res.writeHead(200, { "x-attempt-id": "attempt-1", "x-response-seal": "s", connection: "close" });
        res.write(body, () => end(req));
    };

    it("passes an answer without a length on as whole when its connection was closed", async () => {
        const { call } = await startBound([unframed("whole", req => req.socket.end())], { execution: "at-most-once" });
        expect(await call({ method: "POST", body: "x" })).to.include({ status: 200, body: "whole", complete: true });
    });

    // A reset that is read together with data is reported as the end of the stream.
    for (const afterMs of [0, 30]) {
        it(`does not pass an answer without a length on as whole when reset after ${afterMs} ms`, async () => {
            const reset = (req: IncomingMessage): void => {
                if (afterMs === 0) {
                    req.socket.resetAndDestroy();
                }
                else {
                    setTimeout(() => req.socket.resetAndDestroy(), afterMs);
                }
            };
            const { call } = await startBound([unframed("half", reset)], { execution: "at-most-once" });
            const answer = await call({ method: "POST", body: "x" });
            expect(answer.status === 200 && answer.complete).to.equal(false);
        });
    }

    const events = (from: number, to: number): string => {
        let text = "";
        for (let id = from; id <= to; id++) {
            text += `id: ${id}\ndata: piece ${id}\n\n`;
        }
        return text;
    };
    // The head had been sent to the caller before the body was cut, and two bodies were joined under it.
    it("does not join the answers of two endpoints when the first one without a length is cut", async () => {
        const { call } = await startBound([unframed("half", req => req.socket.resetAndDestroy()), sealed(200, "ok")]);
        for (let i = 0; i < 4; i++) {
            expect(await call({})).to.include({ status: 200, body: "ok", complete: true });
        }
    });

    const streamHead = {
        "x-attempt-id": "attempt-1",
        "x-response-seal": "s",
        "content-type": "text/event-stream",
    };

    it("continues a resumable stream elsewhere after its last whole event, without a gap or a repeat", async () => {
        const answer: Answer = (req, res) => {
            const after = Number(req.headers["last-event-id"] ?? 0);
            res.writeHead(200, streamHead);
            if (after === 0) {
                res.write(`${events(1, 3)}id: 4\nda`, () => setTimeout(() => req.socket.resetAndDestroy(), 30));
            }
            else {
                res.end(events(after + 1, 6));
            }
        };
        const { call } = await startBound([answer, answer], { execution: "stream", resumable: true });
        const result = await call({ method: "POST", body: "x" });
        expect(result).to.include({ status: 200, complete: true, body: events(1, 6) });
        expect(sends()).to.equal(2);
    });

    // The body of the error was written behind the events that the caller already had, and the answer looked whole.
    it("does not join an error of the next endpoint to the events of a cut stream", async () => {
        const answer: Answer = (req, res, seen) => {
            if (req.headers["last-event-id"] !== undefined) {
                void sealed(500, "broken")(req, res, seen);
                return;
            }
            res.writeHead(200, streamHead);
            res.write(events(1, 3), () => setTimeout(() => req.socket.resetAndDestroy(), 30));
        };
        const { call } = await startBound([answer, answer], { execution: "stream", resumable: true });
        const result = await call({ method: "POST", body: "x" });
        expect(result).to.include({ status: 200, complete: false, body: events(1, 3) });
    });

    it("closes the caller's connection when a stream that must not be repeated is cut", async () => {
        const { call } = await startBound([(req, res) => {
            res.writeHead(200, streamHead);
            res.write(events(1, 2), () => setTimeout(() => req.socket.resetAndDestroy(), 30));
        }], { execution: "stream" });
        const answer = await call({ method: "POST", body: "x" });
        expect(answer).to.include({ status: 200, complete: false, body: events(1, 2) });
    });

    it("ends the work at the endpoint when the caller leaves in mid-stream", async () => {
        const { call } = await startBound([(req, res) => {
            void req;
            res.writeHead(200, streamHead);
            res.write(events(1, 1));
        }], { execution: "stream", resumable: true });
        await call({ method: "POST", body: "x", onData: (...[, leave]) => leave() }).catch(() => undefined);
        await endpoints[0]?.seen[0]?.closed;
    });

    it("answers at once when the time of the route is over", async () => {
        const { call } = await startBound([() => undefined], { execution: "at-most-once", timeoutMs: 200 });
        expect((await call({ method: "POST", body: "x" })).status).to.equal(504);
        await endpoints[0]?.seen[0]?.closed;
    });

    it("refuses unknown routes and keys, and everything before it holds a catalog", async () => {
        const { call } = await startBound([sealed(200, "ok")]);
        expect((await call({ headers: { host: "other.example" } })).status).to.equal(404);
        expect((await call({ headers: { "api-key": "wrong" } })).status).to.equal(401);
        const empty = await IngressHarness.start(undefined, []);
        try {
            expect((await empty.call({})).status).to.equal(503);
            expect(await empty.ready()).to.equal(503);
        }
        finally {
            await empty.close();
        }
    });

    // Requests with two framings are how one request is hidden inside another.
    it("refuses ambiguous framing and oversized heads, logs them, and goes on serving others", async () => {
        const { call, harness } = await startBound([sealed(200, "ok")]);
        const head = "POST /x HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\n";
        const hidden = "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\n\r\n";
        const both = await harness.raw(`${head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n${hidden}`);
        const twice = await harness.raw(`${head}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`);
        const large = await harness.raw(`${head}X-Large: ${"x".repeat(70_000)}\r\n\r\n`);
        expect([both, twice, large].map(answer => answer.slice(9, 12))).to.deep.equal(["400", "400", "431"]);
        expect(harness.log.events.filter(({ name }) => name === "caller.bad-request")).to.have.length(3);
        expect(endpoints[0]?.seen.filter(({ target }) => target === "/hidden")).to.deep.equal([]);
        expect(await call({})).to.include({ status: 200, body: "ok" });
    });

    it("refuses what is over the cap of a workspace and says when to come back", async () => {
        endpoints = [new ScriptedEndpoint("e1", sealed(200, "ok"))];
        await endpoints[0]?.start();
        const workspaces = [testWorkspace({ capPerSecond: 1, capBurst: 2 })];
        ingress = await IngressHarness.start(testCatalog({ workspaces }), endpoints);
        const harness = ingress;
        const answers = [];
        for (let i = 0; i < 3; i++) {
            answers.push(await harness.call({}));
        }
        expect(answers.map(({ status }) => status)).to.deep.equal([200, 200, 429]);
        expect(Number(answers[2]?.headers["retry-after"])).to.be.above(0);
    });

    it("finishes what it has read during a planned stop, closes connections, and then refuses truthfully", async () => {
        const { call, harness } = await startBound([(req, res, seen) => {
            setTimeout(() => void sealed(200, "slow")(req, res, seen), 150);
        }]);
        const inProgress = call({});
        await new Promise(resolve => setTimeout(resolve, 40));
        const drained = harness.drain();
        expect(await harness.ready()).to.equal(503);
        const answer = await inProgress;
        expect(answer).to.include({ status: 200, body: "slow", complete: true });
        expect(answer.headers.connection).to.equal("close");
        await new Promise(resolve => setTimeout(resolve, 120));
        const late = await call({});
        expect(late.status).to.equal(503);
        expect(Number(late.headers["retry-after"])).to.be.above(0);
        await drained;
    });
});
