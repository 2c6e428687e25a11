import type { CatalogRoute } from "@lentilramp/catalog";
import type { Endpoint } from "@lentilramp/fleet";
import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { ownHost } from "../../protocol/tests/loopback-net.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const body = "id: 1\ndata: a\n\n";
const close = {
    "resets it": (socket: Socket): void => void socket.resetAndDestroy(),
    "closes it": (socket: Socket): void => void socket.destroy(),
};

// Guards against a caller without an answer because a sound endpoint closes an idle connection as a request is sent.
describe("Relay with an endpoint that closes a kept connection as it is used again", () => {
    let server: Server;
    let sound: ScriptedEndpoint;
    let ingress: IngressHarness;
    let requests: number;

    async function start(route: Partial<CatalogRoute>, end: (socket: Socket) => void): Promise<void> {
        requests = 0;
        server = createServer(socket => {
            let isFirst = true;
            socket.on("error", () => undefined);
            socket.on("data", data => {
                requests++;
                if (!isFirst) {
                    end(socket);
                    return;
                }
                isFirst = false;
                const id = /x-attempt-id: (\S+)/i.exec(data.toString("latin1"))?.[1] ?? "";
                const head = `X-Attempt-Id: ${id}\r\nX-Response-Seal: s\r\nContent-Length: ${body.length}`;
                socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${body}`, "latin1");
            });
        });
        server.listen(0, ownHost);
        await once(server, "listening");
        sound = new ScriptedEndpoint("sound", sealed(200, body));
        await sound.start();
        const { port } = server.address() as AddressInfo;
        const closing: Endpoint = { ...sound.endpoint, id: "closing", port };
        ingress = await IngressHarness.start(testCatalog({ routes: [testRoute(route)] }), []);
        ingress.view.applyEndpointList([closing], ingress.clock.now(), 2);
        expect((await ingress.call({ method: "POST", body: "x" })).status).to.equal(200);
        ingress.view.applyEndpointList([closing, sound.endpoint], ingress.clock.now(), 3);
        // The other endpoint is used only for what is sent once more.
        const { candidates } = ingress.relay;
        let first = true;
        ingress.relay.candidates = service => {
            const all = candidates.call(ingress.relay, service);
            const listed = first ? all.filter(({ id }) => id === "closing") : all;
            first = false;
            return listed;
        };
    }

    afterEach(async () => {
        await ingress.close();
        sound.close();
        server.close();
    });

    const resumable: Partial<CatalogRoute> = { execution: "stream", resumable: true };
    for (const [how, end] of Object.entries(close)) {
        for (const [what, route] of [["a plain request", {}], ["a resumable stream", resumable]] as const) {
            it(`sends ${what} once more if the endpoint ${how}`, async () => {
                await start(route, end);
                expect(await ingress.call({ method: "POST", body: "x" })).to.include({
                    status: 200,
                    complete: true,
                    body,
                });
                expect(sound.requests).to.have.length(1);
            });
        }

        for (const execution of ["at-most-once", "stream"] as const) {
            it(`answers 502 and sends nothing again if the endpoint ${how}, ${execution}`, async () => {
                await start({ execution }, end);
                expect(await ingress.call({ method: "POST", body: "x" })).to.include({ status: 502, complete: true });
                expect(requests).to.equal(2);
                expect(sound.requests).to.have.length(0);
            });
        }
    }
});
