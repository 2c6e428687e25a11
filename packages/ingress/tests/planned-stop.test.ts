import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, type CallerAnswer, IngressHarness, ScriptedEndpoint } from "./ingress-harness.ts";

const graceMs = 2_000;
/** Time budget that ends long after the grace time. */
const longBudget = { "x-deadline-ms": "30000" };
const neverAnswers: Answer = () => undefined;

describe("planned stop of an ingress", () => {
    let endpoint: ScriptedEndpoint;
    let ingress: IngressHarness;

    async function start(answer: Answer, route: Partial<CatalogRoute> = {}): Promise<void> {
        endpoint = new ScriptedEndpoint("e1", answer);
        await endpoint.start();
        ingress = await IngressHarness.start(
            testCatalog({ routes: [testRoute({ timeoutMs: 30_000, firstByteTargetMs: 10_000, ...route })] }),
            [endpoint],
            {},
            { graceMs },
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

    const stop = async (): Promise<void> => {
        await ingress.drain();
        await ingress.close();
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
            void until(() => ingress.clock.now() >= stopAt + 0.6 * graceMs).then(() => res.end(event(2)));
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
});
