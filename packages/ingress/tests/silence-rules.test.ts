import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import { testCatalog, testRoute, testWorkspace } from "../../catalog/tests/fixtures.ts";
import { type Answer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const stream: Partial<CatalogRoute> = { execution: "stream", resumable: true, gapTargetMs: 60 };
/** Silence in a stream of that route, in milliseconds; several times the one after which it is moved if it can be. */
const longPauseMs = 1_000;
/** Time in which a silent attempt has to end when another one replaces it, in milliseconds. */
const endWithinMs = 300;
const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const pausingStream: Answer = (req, res) => {
    res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
    const rest = events.slice(Number(req.headers["last-event-id"] ?? 0));
    res.write(rest.shift());
    const timer = setTimeout(() => res.end(rest.join("")), longPauseMs);
    res.on("close", () => clearTimeout(timer));
};

const answerAfterPause: Answer = (req, res, received) => {
    const timer = setTimeout(() => void sealed(200, "ok")(req, res, received), longPauseMs);
    res.on("close", () => clearTimeout(timer));
};

describe("Relay with silent endpoints and what a replacement costs", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let ingress: IngressHarness;
    let withdrawals: boolean[];
    let refunds: number;

    /** Starts an ingress whose withdrawals from the retry budget and refunds to caps are recorded. */
    async function start(answers: Answer[], route: Partial<CatalogRoute>, hasBudget = true): Promise<void> {
        endpoints = answers.map((answer, i) => new ScriptedEndpoint(`e${i + 1}`, answer));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const workspaces = [testWorkspace({ capPerSecond: 100, capBurst: 100 })];
        const routes = [testRoute({ timeoutMs: 4_000, ...route })];
        ingress = await IngressHarness.start(testCatalog({ routes, workspaces }), endpoints);
        const budget = ingress.relay.retryBudget("app");
        const { tryWithdraw } = budget;
        withdrawals = [];
        budget.tryWithdraw = now => {
            withdrawals.push(hasBudget && tryWithdraw.call(budget, now));
            return withdrawals.at(-1) ?? false;
        };
        const { caps } = ingress.view;
        const { refund } = caps;
        refunds = 0;
        caps.refund = (...args) => {
            refunds++;
            refund.apply(caps, args);
        };
    }

    afterEach(async () => {
        await ingress.close();
        endpoints.forEach(endpoint => endpoint.close());
    });

    const countAttempts = (): number => endpoints.reduce((sum, { requests }) => sum + requests.length, 0);
    const call = (id = "attempt-1"): ReturnType<IngressHarness["call"]> =>
        ingress.call({ method: "POST", body: "x", headers: { "x-deadline-ms": "4000", "x-attempt-id": id } });

    // Guards against paying twice for one replacement, which takes the attempts of other requests away, and against a
    // first attempt that goes on at its endpoint.
    for (
        const [kind, silent, route, body] of [
            ["an answer", answerAfterPause, {}, "ok"],
            ["a stream", pausingStream, stream, events.join("")],
        ] as const
    ) {
        it(`pays once for a replacement of ${kind}, and ends the silent attempt`, async () => {
            await start([silent], route);
            const answer = call();
            while (countAttempts() === 0) {
                await sleep(5);
            }
            const quick = sealed(200, kind === "an answer" ? body : events[1] ?? "");
            const other = new ScriptedEndpoint("e2", quick);
            await other.start();
            endpoints.push(other);
            ingress.view.applyEndpointList(endpoints.map(({ endpoint }) => endpoint), ingress.clock.now(), 2);
            expect(await answer).to.include({ status: 200, body, complete: true });
            expect(endpoints.map(({ requests }) => requests.length)).to.deep.equal([1, 1]);
            const closed = endpoints[0]?.requests[0]?.closed.then(() => "closed");
            expect(await Promise.race([closed, sleep(endWithinMs).then(() => "open")])).to.equal("closed");
            expect(withdrawals.filter(Boolean)).to.have.length(1);
        });

        // Guards against leaving a silent endpoint when the route or the retry budget allows no other attempt.
        for (const [what, maxAttempts, hasBudget] of [["attempts", 1, true], ["retry budget", 2, false]] as const) {
            it(`stays with a silent endpoint without ${what} left, ${kind}`, async () => {
                await start([silent, silent], { ...route, maxAttempts }, hasBudget);
                expect(await call()).to.include({ status: 200, body, complete: true });
                expect(countAttempts()).to.equal(1);
            });
        }

        // Guards against timers that outlive an attempt and withdraw from the retry budget for nothing.
        it(`asks for no replacement after the end of ${kind}`, async () => {
            const quick = sealed(200, body);
            await start([quick, quick], { ...route, maxAttempts: 3 });
            expect(await call()).to.include({ status: 200, body });
            await sleep(longPauseMs);
            expect(withdrawals).to.deep.equal([]);
        });
    }

    // Guards against waiting to the deadline for an endpoint that has sent the head of a stream and nothing more.
    it("moves a stream whose first event does not come", async () => {
        await start([
            (req, res) => {
                res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
                res.flushHeaders();
            },
        ], stream);
        const answer = call();
        while (countAttempts() === 0) {
            await sleep(5);
        }
        const other = new ScriptedEndpoint("e2", sealed(200, events.join("")));
        await other.start();
        endpoints.push(other);
        ingress.view.applyEndpointList(endpoints.map(({ endpoint }) => endpoint), ingress.clock.now(), 2);
        expect(await answer).to.include({ status: 200, body: events.join(""), complete: true });
    });

    // Guards against blaming the endpoint for a caller that does not read when another endpoint could take the stream.
    it("does not move a stream while its caller does not read", async () => {
        const eventCount = 100;
        const largeStream: Answer = (req, res) => {
            res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
            for (let id = 1; id <= eventCount; id++) {
                res.write(`id: ${id}\ndata: ${"x".repeat(120_000)}\n\n`);
            }
            res.end();
        };
        await start([largeStream, largeStream], stream);
        const caller = await ingress.connect();
        caller.send(
            "GET /x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a\r\nApi-Key: key-1\r\nX-Deadline-Ms: 4000\r\n"
                + "Connection: close\r\n\r\n",
        );
        await caller.receive("id: 1\n");
        caller.pause();
        await sleep(longPauseMs);
        caller.resume();
        await caller.closed();
        expect(caller.received).to.match(/\r\n0\r\n\r\n$/);
        expect(countAttempts()).to.equal(1);
        expect(withdrawals).to.deep.equal([]);
    });

    // Guards against giving units back twice, or for a request that may have run.
    it("gives the units of a request back once if it has not run, and never otherwise", async () => {
        await start([sealed(503, "", { "x-not-executed": "1" })], { execution: "at-most-once" });
        expect((await call()).status).to.equal(503);
        expect(refunds).to.equal(1);
        endpoints[0]!.answer = (...[, res]) => void res.destroy();
        expect((await call()).status).to.equal(502);
        expect(refunds).to.equal(1);
    });

    // Guards against a stream that the ingress breaks off at its deadline and that counts as left by its caller.
    it("records a stream that ended at its deadline as cut", async () => {
        await start([pausingStream], { ...stream, resumable: false, timeoutMs: 300 });
        // An id whose outcome is logged.
        expect((await call("attempt-4")).complete).to.equal(false);
        await sleep(50);
        const done = ingress.log.events.find(({ name }) => name === "request.done");
        expect(done?.fields).to.include({ outcome: "cut" });
    });
});
