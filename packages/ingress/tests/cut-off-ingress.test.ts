import type { Endpoint } from "@lentilramp/fleet";
import { describeIngress } from "@lentilramp/ingress";
import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, IngressHarness, ScriptedEndpoint } from "./ingress-harness.ts";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
const endpointCount = 4;

/** What becomes of the connections of an ingress that is cut off from all endpoints. */
type Cut = "refused" | "reset";

describe("Relay of an ingress that reaches no endpoint, beside one that does", () => {
    let endpoints: ScriptedEndpoint[];
    let cutOff: IngressHarness;
    let sound: IngressHarness;
    const servers: Server[] = [];
    const sockets = new Set<Socket>();

    const answer: Answer = (req, res) => {
        res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
        res.end("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    };

    /** Returns an address at which connections are refused or reset. */
    async function deadPort(cut: Cut): Promise<number> {
        const server = createServer(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.resetAndDestroy();
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        if (cut === "refused") {
            server.close();
            await once(server, "close");
        }
        else {
            servers.push(server);
        }
        return port;
    }

    async function start(cut: Cut, route: Parameters<typeof testRoute>[0]): Promise<void> {
        endpoints = Array.from({ length: endpointCount }, (...[, i]) => new ScriptedEndpoint(`e${i}`, answer));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const catalog = testCatalog({ routes: [testRoute({ timeoutMs: 3_000, ...route })] });
        sound = await IngressHarness.start(catalog, endpoints, {}, { name: "sound", failureDomain: "b" });
        cutOff = await IngressHarness.start(catalog, [], {}, { name: "cut-off" });
        const listed = await Promise.all(
            endpoints.map(async ({ endpoint }): Promise<Endpoint> => ({ ...endpoint, port: await deadPort(cut) })),
        );
        cutOff.view.applyEndpointList(listed, cutOff.clock.now(), 1);
        const ingresses = [cutOff, sound].map(({ options }) =>
            describeIngress({ ...options, inner: { host: "127.0.0.1", port: 1 } }, true)
        );
        for (const { view, clock } of [cutOff, sound]) {
            view.applySyncAnswer(
                { leading: true, stewards: [], members: 2, roster: { tag: 1, ingresses } },
                clock.now(),
            );
        }
    }

    afterEach(async () => {
        await Promise.all([cutOff.close(), sound.close()]);
        endpoints.forEach(endpoint => endpoint.close());
        sockets.forEach(socket => socket.destroy());
        servers.forEach(server => server.close());
    });

    const post = (id: string) =>
        cutOff.call({ method: "POST", body: "x", headers: { "x-attempt-id": id, "x-deadline-ms": "3000" } });
    const bodiesRun = (): string[] => endpoints.flatMap(({ requests }) => requests.map(({ body }) => body));

    // Guards against callers that an ingress refuses for as long as it is cut off from all endpoints, while its peers
    // have room.
    for (const execution of ["idempotent", "at-most-once", "stream"] as const) {
        it(`serves a request of the kind ${execution} through a peer when connections are refused`, async () => {
            await start("refused", { execution, resumable: execution === "stream" });
            for (let i = 0; i < 6; i++) {
                expect(await post(`a${i}`)).to.include({ status: 200, complete: true });
            }
            expect(bodiesRun()).to.deep.equal(["x", "x", "x", "x", "x", "x"]);
        });
    }

    it("serves requests that may be repeated through a peer when connections are reset", async () => {
        await start("reset", { execution: "idempotent" });
        await post("first");
        await sleep(400);
        for (let i = 0; i < 6; i++) {
            expect(await post(`a${i}`)).to.include({ status: 200, complete: true });
        }
    });
});
