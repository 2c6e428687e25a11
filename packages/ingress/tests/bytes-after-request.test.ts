import { expect } from "chai";
import { once } from "node:events";
import { connect } from "node:net";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

describe("CallerServer with bytes after a request", () => {
    // Guards against an answer that bytes after its request replace: a request that may run once only has run, and its
    // caller is told by a 400 that it was rejected, or nothing.
    for (const bytes of ["not HTTP\r\n\r\n", "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n"]) {
        it(`answers the request before ${JSON.stringify(bytes)}`, async () => {
            let release: () => void = () => undefined;
            const released = new Promise<void>(resolve => release = resolve);
            const endpoint = new ScriptedEndpoint("e1", async (req, res, received) => {
                await released;
                await sealed(200, "done")(req, res, received);
            });
            await endpoint.start();
            const ingress = await IngressHarness.start(
                testCatalog({ routes: [testRoute({ execution: "at-most-once", timeoutMs: 1_500 })] }),
                [endpoint],
            );
            const reached = once(endpoint.server, "request");
            const answer = ingress.sendRaw(
                "POST /x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a\r\nApi-Key: key-1\r\n"
                    + `Content-Length: 4\r\n\r\nbody${bytes}`,
            );
            await Promise.race([reached, answer]);
            release();
            const got = await answer;
            await ingress.close();
            endpoint.close();
            expect(got).to.match(/^HTTP\/1\.1 200 /);
            expect(got).to.match(/\r\ndone\r\n/);
        });
    }

    // Guards against a process that ends by the error of a connection that Node.js has given up.
    for (const requests of [0, 1]) {
        it(`goes on when a caller resets its connection behind a request for a tunnel and ${requests} others`, async () => {
            let release: () => void = () => undefined;
            const released = new Promise<void>(resolve => release = resolve);
            const endpoint = new ScriptedEndpoint("e1", async (req, res, received) => {
                await released;
                await sealed(200, "done")(req, res, received);
            });
            await endpoint.start();
            const ingress = await IngressHarness.start(testCatalog({ routes: [testRoute({ timeoutMs: 1_500 })] }), [
                endpoint,
            ]);
            try {
                const socket = connect(ingress.options.callers.port, "127.0.0.1");
                socket.on("error", () => undefined);
                await once(socket, "connect");
                const request = "GET /x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a\r\nApi-Key: key-1\r\n\r\n";
                socket.write(`${request.repeat(requests)}CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\nmore`);
                while (endpoint.requests.length < requests) {
                    await sleep(1);
                }
                await sleep(20);
                socket.resetAndDestroy();
                await sleep(20);
                release();
                expect((await ingress.call({})).status).to.equal(200);
            }
            finally {
                await ingress.close();
                endpoint.close();
            }
        });
    }
});
