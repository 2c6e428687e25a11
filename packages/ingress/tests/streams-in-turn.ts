import type { CatalogRoute } from "@lentilramp/catalog";
import { type Answer, type CallerAnswer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";
import { streamCatalog } from "./stream-catalog.ts";

/** Events of the stream that the scripted engines write. */
export const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];
/** Longest time for which two engines may work on one stream, in milliseconds. */
export const sharedMs = 400;
export const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Begins an answer, which is written by `write`. */
export const begin =
    (write: (...args: Parameters<Answer>) => void | Promise<void>): Answer => async (req, res, received) => {
        res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
        res.flushHeaders();
        await write(req, res, received);
    };

export const dead: Answer = () => undefined;

export const rejectsAfter = (ms: number): Answer => async (...args) => {
    await sleep(ms);
    await sealed(503, "", { "x-not-executed": "1" })(...args);
};

/** Gives the first request another answer than all others. */
export function first(answer: Answer, others: Answer): Answer {
    let asked = 0;
    return (...args) => (asked++ === 0 ? answer : others)(...args);
}

/** Sends one request for a stream to engines that are listed in turn. */
export class StreamsInTurn {
    endpoints: ScriptedEndpoint[] = [];
    private ingress: IngressHarness | undefined;

    /**
     * Sends a request; endpoint `i` is listed only when the one before has got it, and the last one not before
     * `lastListedAfter` has resolved.
     */
    async play(
        answers: readonly Answer[],
        route: Partial<CatalogRoute> = {},
        lastListedAfter: Promise<void> = Promise.resolve(),
    ): Promise<CallerAnswer> {
        const endpoints = answers.map((answer, i) => new ScriptedEndpoint(`e${i + 1}`, answer));
        this.endpoints = endpoints;
        for (const endpoint of endpoints) {
            await endpoint.start();
        }
        const ingress = await IngressHarness.start(
            streamCatalog({ timeoutMs: 8_000, maxAttempts: 3, ...route }),
            endpoints.slice(0, 1),
            {},
            { retryReserve: 100 },
        );
        this.ingress = ingress;
        const answer = ingress.call({ method: "POST", body: "x", headers: { "x-deadline-ms": "8000" } });
        for (let i = 1; i < endpoints.length; i++) {
            while (endpoints[i - 1]?.requests.length === 0) {
                await sleep(5);
            }
            if (i === endpoints.length - 1) {
                await lastListedAfter;
            }
            const listed = endpoints.slice(0, i + 1).map(({ endpoint }) => endpoint);
            ingress.view.applyEndpointList(listed, ingress.clock.now(), i + 1);
        }
        return await answer;
    }

    async close(): Promise<void> {
        await this.ingress?.close();
        this.endpoints.forEach(endpoint => endpoint.close());
    }
}
