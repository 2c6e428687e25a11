import { expect } from "chai";
import { setTimeout as sleep } from "node:timers/promises";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const graceMs = 8_000;
/** From this time after the signal on, nothing excuses a stream that the end of the grace time cuts. */
const lateMs = 3_000;

describe("CallerServer with requests that arrive late in a planned stop", () => {
    let endpoint: ScriptedEndpoint | undefined;
    let ingress: IngressHarness | undefined;

    afterEach(async () => {
        endpoint?.close();
        await ingress?.close();
    });

    /** Starts an ingress that has seen eight short streams of the route, and begins a planned stop. */
    async function startStop(): Promise<{ harness: IngressHarness; stopped: Promise<void>; }> {
        endpoint = new ScriptedEndpoint("e1", sealed(200, "id: 1\ndata: a\n\n"));
        await endpoint.start();
        const route = testRoute({ execution: "stream", resumable: true, timeoutMs: 15_000 });
        const harness = await IngressHarness.start(testCatalog({ routes: [route] }), [endpoint], {}, {
            graceMs,
            lingerMs: 6_000,
        });
        ingress = harness;
        for (let i = 0; i < 8; i++) {
            expect(await harness.call({})).to.include({ status: 200, complete: true });
        }
        return { harness, stopped: harness.drain() };
    }

    // Guards against a stream that is let in because those before it were short, and cut at the end of the grace time.
    it("cuts no stream that lasts longer than all that came before", async () => {
        const { harness, stopped } = await startStop();
        await sleep(lateMs + 100);
        endpoint!.answer = (req, res) => {
            res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
            let event = 0;
            const timer = setInterval(() => res.write(`id: ${++event}\ndata: a\n\n`), 100);
            res.once("close", () => clearInterval(timer));
        };
        const answer = harness.call({ headers: { "x-deadline-ms": "15000" } });
        await stopped;
        await harness.close();
        expect(await answer).to.include({ status: 503, complete: true });
    });

    // Guards against refusing what ends in time whatever happens.
    it("serves a request whose own time is over before the connections close", async () => {
        const { harness, stopped } = await startStop();
        await sleep(lateMs + 100);
        expect(await harness.call({ headers: { "x-deadline-ms": "3000" } })).to.include({
            status: 200,
            complete: true,
        });
        await stopped;
    });
});
