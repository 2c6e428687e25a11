import type { CatalogRoute } from "@lentilramp/catalog";
import type { Endpoint } from "@lentilramp/fleet";
import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness } from "./ingress-harness.ts";

const streams: [string, Partial<CatalogRoute>][] = [
    ["a resumable stream", { execution: "stream", resumable: true, gapTargetMs: 100 }],
    ["a stream", { execution: "stream", resumable: false }],
];
const routes: [string, Partial<CatalogRoute>][] = [
    ...streams,
    ["an idempotent call", { execution: "idempotent" }],
    ["an at-most-once call", { execution: "at-most-once" }],
];

/**
 * The HTTP parser of Node.js accepts reason phrases, and in some releases header names, that its writer rejects with an
 * exception.
 */
describe("Relay with heads that cannot be written", () => {
    const servers: Server[] = [];
    const sockets = new Set<Socket>();
    let ingress: IngressHarness | undefined;

    /** Starts an endpoint that answers each request with the bytes that `write` returns. */
    async function startEndpoint(id: string, write: (attemptId: string, socket: Socket) => string): Promise<Endpoint> {
        const server = createServer(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", head => {
                const attemptId = /x-attempt-id: (\S+)/i.exec(head.toString("latin1"))?.[1] ?? "";
                socket.write(Buffer.from(write(attemptId, socket), "latin1"));
            });
        });
        servers.push(server);
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        return {
            id,
            service: "app",
            host: "127.0.0.1",
            port,
            failureDomain: "a",
            slots: 4,
            ready: true,
            reclaimable: false,
        };
    }

    async function start(route: Partial<CatalogRoute>, endpoints: Endpoint[]): Promise<IngressHarness> {
        ingress = await IngressHarness.start(testCatalog({ routes: [testRoute({ ...route, timeoutMs: 1_000 })] }), []);
        ingress.view.applyEndpointList(endpoints, ingress.clock.now(), 1);
        return ingress;
    }

    afterEach(async () => {
        await ingress?.close();
        sockets.forEach(socket => socket.destroy());
        servers.forEach(server => server.close());
        sockets.clear();
        servers.length = 0;
        ingress = undefined;
    });

    const answer = (attemptId: string, status: string, header = ""): string =>
        `HTTP/1.1 ${status}\r\nX-Attempt-Id: ${attemptId}\r\nX-Response-Seal: s\r\n${header}Content-Length: 15\r\n\r\n`
        + "id: 1\ndata: a\n\n";

    // Guards against an exception in the listener of an answer's data, which ends the whole process, and against a
    // request that ends without an answer and leaves its endpoint booked.
    for (const [kind, route] of routes) {
        for (
            const [fault, status, write] of [
                ["a control character in its reason phrase", 200, (id: string) => answer(id, "200 O\u0001K")],
                ["a space in a header's name", 502, (id: string) => answer(id, "200 OK", "X- Other: 1\r\n")],
                ["a status below 100", 502, (id: string) => answer(id, "099 OK")],
            ] as const
        ) {
            it(`answers ${status} to ${kind} whose endpoint's answer has ${fault}`, async () => {
                const harness = await start(route, [await startEndpoint("e1", write)]);
                expect(await harness.call({})).to.include({ status, complete: true });
                expect(harness.view.loads.localRunning("e1")).to.equal(0);
                expect(harness.log.events.filter(({ name }) => name === "request.broken")).to.deep.equal([]);
            });
        }
    }

    // Guards against a caller's malformed header that closes the connection without an answer and books an endpoint
    // for ever, instead of a 400.
    it("answers 400 to a caller's header with a space in its name", async () => {
        const harness = await start({ execution: "idempotent" }, [
            await startEndpoint("e1", id => answer(id, "200 OK")),
        ]);
        const got = await harness.sendRaw(
            "GET /x HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\nX-Attempt-Id: a\r\nX- Other: 1\r\n"
                + "Connection: close\r\n\r\n",
        );
        expect(got).to.match(/^HTTP\/1\.1 400 /);
        expect(harness.view.loads.localRunning("e1")).to.equal(0);
    });

    // Guards against an id of an event that cannot be sent as the position of the resumed stream: the error ended the
    // request outside the usual path and left an endpoint booked.
    it("releases both endpoints when a stream breaks off after an event whose id cannot be sent", async () => {
        const breakOff = (attemptId: string, socket: Socket): string => {
            setTimeout(() => socket.destroy(), 20);
            return `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attemptId}\r\nX-Response-Seal: s\r\n`
                + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: \u0001\ndata: a\n\n\r\n";
        };
        const [, route] = streams[0] ?? [];
        const endpoints = [await startEndpoint("e1", breakOff), await startEndpoint("e2", breakOff)];
        const harness = await start({ ...route }, endpoints);
        expect((await harness.call({})).complete).to.equal(false);
        expect(endpoints.map(({ id }) => harness.view.loads.localRunning(id))).to.deep.equal([0, 0]);
        expect(harness.log.events.filter(({ name }) => name === "request.broken")).to.deep.equal([]);
    });
});
