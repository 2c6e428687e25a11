import { type CatalogRoute, RouteTable } from "@lentilramp/catalog";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import {
    type Answer,
    type CallerAnswer,
    IngressHarness,
    RunningTime,
    ScriptedEndpoint,
    sealed,
} from "./ingress-harness.ts";

const timeoutMs = 700;
const eventGapMs = 200;
const events = Array.from({ length: 7 }, (...[, i]) => `id: ${i + 1}\ndata: ${i}\n\n`);
const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Waits until the instant `at` has come; a timer of Node.js may fire up to 1 ms early by `Date.now`. */
async function sleepUntil(at: number): Promise<void> {
    do {
        await sleep(at - Date.now());
    }
    while (Date.now() < at);
}

/** Writes an event each 200 ms, from the one after `Last-Event-Id` on, and stops work when the time it was given is up. */
const stream: Answer = async (req, res) => {
    const stopAt = Date.now() + Number(req.headers["x-deadline-ms"]);
    res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
    for (const event of events.slice(Number(req.headers["last-event-id"] ?? 0))) {
        res.write(event);
        await sleepUntil(Math.min(Date.now() + eventGapMs, stopAt));
        if (Date.now() >= stopAt) {
            res.destroy();
            return;
        }
    }
    res.end();
};

describe("Relay with a catalog that changes the timeout of a request in flight", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let ingress: IngressHarness | undefined;

    interface TimedAnswer extends CallerAnswer {
        /** Time from the request to the end of the answer, in milliseconds. */
        tookMs: number;
        /** The part of it in which this process, with the ingress, could run. */
        runningMs: number;
    }

    /** Sends a request; `change` is applied to its route after 300 ms, unless that is removed. */
    async function callAcrossChange(
        answers: Answer[],
        route: Partial<CatalogRoute>,
        change: Partial<CatalogRoute> | "removed",
        callerTimeoutMs = 5_000,
    ): Promise<TimedAnswer> {
        endpoints = answers.map((answer, i) => new ScriptedEndpoint(`e${i + 1}`, answer));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const before = testRoute({ timeoutMs, gapTargetMs: 300, ...route });
        const harness = await IngressHarness.start(testCatalog({ routes: [before] }), endpoints);
        ingress = harness;
        const startedAt = performance.now();
        const time = new RunningTime();
        const answer = harness.call({
            method: "POST",
            body: "x",
            headers: { "x-deadline-ms": String(callerTimeoutMs) },
        }).then(ended => ({ ...ended, tookMs: performance.now() - startedAt, runningMs: time.now() }))
            .finally(() => time.close());
        await sleep(300);
        harness.view.catalog = testCatalog({
            version: 2,
            routes: change === "removed" ? [] : [{ ...before, ...change }],
        });
        harness.view.routes = new RouteTable(harness.view.catalog);
        return await answer;
    }

    afterEach(async () => {
        await ingress?.close();
        endpoints.forEach(endpoint => endpoint.close());
        ingress = undefined;
        endpoints = [];
    });

    const resumable: Partial<CatalogRoute> = { execution: "stream", resumable: true };
    const whole = { status: 200, complete: true, body: events.join("") };

    // Guards against closing the connection of a caller with most of its time left at a timeout that holds no longer.
    for (const [what, answers] of [["one endpoint", [stream]], ["two endpoints", [stream, stream]]] as const) {
        it(`relays a resumable stream to its end after its timeout was raised, ${what}`, async () => {
            expect(await callAcrossChange([...answers], resumable, { timeoutMs: 4_000 })).to.include(whole);
            expect(ingress?.log.events.map(({ name }) => name)).not.to.include("caller.cut");
        });
    }

    it("relays a stream that may not be resumed to its end if its endpoint goes on", async () => {
        const deafStream: Answer = async (req, ...rest) => {
            req.headers["x-deadline-ms"] = "9000";
            await stream(req, ...rest);
        };
        const answer = await callAcrossChange([deafStream], { execution: "stream" }, { timeoutMs: 4_000 });
        expect(answer).to.include(whole);
    });

    // Guards against work for a caller that has given up, and against a timeout that holds up other callers.
    for (
        const [what, route, change, callerTimeoutMs, from, to] of [
            ["the caller's own time is up", resumable, { timeoutMs: 4_000 }, 1_000, 900, 1_200],
            ["its timeout was raised once and is up", resumable, { timeoutMs: 1_100 }, 5_000, 1_000, 1_300],
            ["its timeout was lowered", resumable, { timeoutMs: 100 }, 5_000, 600, 900],
            ["its route was removed", resumable, "removed", 5_000, 600, 900],
        ] as const
    ) {
        it(`ends a stream when ${what}`, async () => {
            const { complete, tookMs, runningMs } = await callAcrossChange(
                [stream, stream],
                route,
                change,
                callerTimeoutMs,
            );
            expect(complete).to.equal(false);
            expect(tookMs).to.be.at.least(from);
            expect(runningMs).to.be.at.most(to);
        });
    }

    // Guards against holding a request without an answer past the timeout with which it was taken.
    it("answers a request without an answer at the timeout with which it was taken", async () => {
        const slow: Answer = async (...args) => {
            await sleep(1_500);
            await sealed(200, "ok")(...args);
        };
        const { status, tookMs, runningMs } = await callAcrossChange([slow], {}, { timeoutMs: 4_000 });
        expect(status).to.equal(504);
        expect(tookMs).to.be.at.least(600);
        expect(runningMs).to.be.at.most(900);
    });

    // Guards against blaming an endpoint that stops work at the time that it was given.
    it("does not blame the endpoint of a stream whose timeout was raised", async () => {
        const outcomes: string[] = [];
        const answer = callAcrossChange([stream, stream], resumable, { timeoutMs: 4_000 });
        while (ingress === undefined) {
            await sleep(5);
        }
        const { health } = ingress.view;
        const { recordOutcome } = health;
        health.recordOutcome = (...args) => {
            outcomes.push(args[2]);
            return recordOutcome.apply(health, args);
        };
        expect(await answer).to.include(whole);
        expect(outcomes).not.to.include("broken");
    });
});
