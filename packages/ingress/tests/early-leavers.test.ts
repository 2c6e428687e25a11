import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, type CallerConnection, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const head = (id: string, extra = ""): string =>
    `POST /x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: ${id}\r\nApi-Key: key-1\r\nX-Deadline-Ms: 8000\r\n${extra}`;
const post = (id: string): string => `${head(id)}Content-Length: 1\r\n\r\nx`;

/**
 * The request or its last part, and the close behind it, lie in the caller's socket together, as after a pause of the
 * process. One turn of the event loop reads the first of them.
 */
describe("Relay with callers that have left when their requests are read", () => {
    let endpoints: ScriptedEndpoint[];
    let ingress: IngressHarness;

    /** Starts the ingress and opens kept connections to the endpoints, on which a request is sent without delay. */
    async function start(answers: Answer[], route: Partial<CatalogRoute> = {}): Promise<void> {
        endpoints = answers.map((...[, i]) => new ScriptedEndpoint(`e${i + 1}`, sealed(200, "done")));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const routes = [testRoute({ timeoutMs: 8_000, firstByteTargetMs: 8_000, ...route })];
        ingress = await IngressHarness.start(testCatalog({ routes }), endpoints);
        await Promise.all(Array.from({ length: 4 * endpoints.length }, () => ingress.call({})));
        endpoints.forEach((endpoint, i) => {
            endpoint.answer = answers[i] ?? endpoint.answer;
            endpoint.requests.length = 0;
        });
    }

    afterEach(async () => {
        await ingress.close();
        endpoints.forEach(endpoint => endpoint.close());
    });

    const bodies = (): number => endpoints.reduce((sum, { requests }) => sum + requests.length, 0);

    /** Resolves once the ingress has no request left, so that none can still be sent. */
    async function settled(): Promise<void> {
        await new Promise(resolve => setTimeout(resolve, 50));
        while (ingress.relay.requestsInFlight > 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }

    const leaves: [string, (caller: CallerConnection) => void][] = [
        ["closes its connection", caller => caller.disconnect()],
        ["resets its connection", caller => caller.reset()],
    ];
    for (const [what, leave] of leaves) {
        // Guards against work for callers that have given up, for as long after a pause as there are such requests.
        it(`sends no request whose caller ${what} behind it`, async () => {
            await start([sealed(200, "done")]);
            const callers = await Promise.all(Array.from({ length: 8 }, () => ingress.connect()));
            callers.forEach((caller, i) => {
                caller.send(post(`a${i}`));
                leave(caller);
            });
            await settled();
            expect(bodies()).to.equal(0);
        });

        it(`sends no request whose caller ${what} behind the end of its body`, async () => {
            await start([sealed(200, "done")]);
            const caller = await ingress.connect();
            caller.send(head("a1", "Content-Length: 10\r\n\r\n12345"));
            await new Promise(resolve => setTimeout(resolve, 50));
            caller.send("67890");
            leave(caller);
            await settled();
            expect(bodies()).to.equal(0);
        });

        it(`sends no retry for a caller that ${what} as the first answer comes`, async () => {
            const callers: CallerConnection[] = [];
            const failing: Answer = (req, res, received) => {
                void sealed(500, "failed")(req, res, received);
                callers.forEach(leave);
            };
            await start([failing, failing]);
            callers.push(await ingress.connect());
            callers[0]?.send(post("a1"));
            await settled();
            expect(bodies()).to.equal(1);
        });

        it(`sends no waiting request when its caller ${what} as a slot becomes free`, async () => {
            const running: (() => void)[] = [];
            await start([(req, res, received) => {
                running.push(() => void sealed(200, "done")(req, res, received));
            }]);
            const taken = (endpoints[0]?.endpoint.slots ?? 0) + 1;
            const holders = await Promise.all(Array.from({ length: taken }, () => ingress.connect()));
            holders.forEach((holder, i) => holder.send(post(`h${i}`)));
            while (running.length < taken) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
            const caller = await ingress.connect();
            caller.send(post("waiting"));
            while (ingress.relay.waiting === 0) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
            running.forEach(end => end());
            leave(caller);
            await settled();
            expect(bodies()).to.equal(taken);
        });
    }

    it("gives the workspace back what a request took from its cap that was not sent", async () => {
        await start([sealed(200, "done")]);
        const refunds: number[] = [];
        const { caps } = ingress.view;
        const refund = caps.refund.bind(caps);
        caps.refund = (workspace, units) => {
            refunds.push(units);
            refund(workspace, units);
        };
        const caller = await ingress.connect();
        caller.send(post("a1"));
        caller.disconnect();
        await settled();
        expect(refunds).to.deep.equal([1]);
    });
});
