import type { Endpoint } from "@lentilramp/fleet";
import { describeIngress } from "@lentilramp/ingress";
import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { testCatalog, testRoute, testWorkspace } from "../../catalog/tests/fixtures.ts";
import { ownHost } from "../../protocol/tests/loopback-net.ts";
import { type Answer, holdBeforePoll, IngressHarness, ScriptedEndpoint } from "./ingress-harness.ts";

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

    /** Returns a port at the address of the endpoints at which connections are refused or reset. */
    async function deadPort(cut: Cut): Promise<number> {
        const server = createServer(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.resetAndDestroy();
        });
        server.listen(0, ownHost);
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

    async function start(
        cut: Cut,
        route: Parameters<typeof testRoute>[0],
        ownWorkspace: Parameters<typeof testWorkspace>[0] = {},
    ): Promise<void> {
        endpoints = Array.from({ length: endpointCount }, (...[, i]) => new ScriptedEndpoint(`e${i}`, answer));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const catalog = testCatalog({ routes: [testRoute({ timeoutMs: 3_000, ...route })] });
        sound = await IngressHarness.start(catalog, endpoints, {}, { name: "sound", failureDomain: "b" });
        const ownCatalog = { ...catalog, workspaces: [testWorkspace(ownWorkspace)] };
        cutOff = await IngressHarness.start(ownCatalog, [], {}, { name: "cut-off" });
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

    // Guards against refusing a request when the connection to the peer was opened during a pause of this process.
    it("sends the request to the peer on a connection that was opened meanwhile", async () => {
        await start("refused", { execution: "idempotent" });
        const { headerCodec } = cutOff.relay;
        const encode = headerCodec.encodePeerHeaders.bind(headerCodec);
        let held = 0;
        headerCodec.encodePeerHeaders = (...args) => {
            if (held++ === 0) {
                holdBeforePoll(400);
            }
            return encode(...args);
        };
        expect(await post("a1")).to.include({ status: 200, complete: true });
        expect(held).to.equal(1);
        expect(cutOff.log.events.some(({ name }) => name === "request.not-forwarded")).to.equal(false);
    });

    it("serves requests that may be repeated through a peer when connections are reset", async () => {
        await start("reset", { execution: "idempotent" });
        for (let i = 0; !cutOff.relay.reach.isCutOff; i++) {
            await post(`early-${i}`);
        }
        for (let i = 0; i < 6; i++) {
            expect(await post(`a${i}`)).to.include({ status: 200, complete: true });
        }
    });

    // Guards against a mark of forwarded requests that reaches endpoints, also through a peer that does not know it.
    it("forwards the request as the caller sent it, with what is left of its time", async () => {
        await start("refused", { execution: "idempotent" });
        await post("a1");
        const received = endpoints.flatMap(({ requests }) => requests)[0]?.headers ?? {};
        expect(received).to.include({ "x-attempt-id": "a1", "x-tenant": "w" });
        expect(Object.keys(received).filter(name => name.includes("forwarded"))).to.deep.equal([]);
        expect(Number(received["x-deadline-ms"])).to.be.within(1, 3_000);
    });

    // Guards against a request that two processes count, in the usage or the cap of its workspace.
    it("counts a forwarded request at the peer alone, and logs its id in both processes", async () => {
        await start("refused", { execution: "at-most-once" }, { capPerSecond: 0.001, capBurst: 6 });
        for (let i = 0; i < 12; i++) {
            expect((await post(`a${i}`)).status).to.equal(200);
        }
        const usageOf = ({ view }: IngressHarness): number =>
            Object.values(view.usage.snapshot()).reduce((sum, counts) => sum + (counts.w ?? 0), 0);
        expect([usageOf(cutOff), usageOf(sound)]).to.deep.equal([0, 12]);
        const idsOf = ({ log }: IngressHarness, event: string): unknown[] =>
            log.events.filter(({ name }) => name === event).map(({ fields }) => fields.id);
        const ids = Array.from({ length: 12 }, (...[, i]) => `a${i}`);
        expect(idsOf(cutOff, "request.forwarded")).to.deep.equal(ids);
        expect(idsOf(sound, "request.taken-for-peer")).to.deep.equal(ids);
    });

    // Guards against requests that two ingresses forward to each other.
    it("refuses a forwarded request instead of forwarding it again", async () => {
        await start("refused", { execution: "at-most-once" });
        sound.view.applyEndpointList(
            await Promise.all(
                endpoints.map(async ({ endpoint }) => ({ ...endpoint, port: await deadPort("refused") })),
            ),
            sound.clock.now() + 10,
            2,
        );
        for (let i = 0; i < 3; i++) {
            expect(await post(`a${i}`)).to.include({ status: 503, complete: true });
        }
        expect(sound.log.events.filter(({ name }) => name === "request.forwarded")).to.deep.equal([]);
    });

    it("ends the work at the endpoint when the caller of a forwarded request leaves", async () => {
        await start("refused", { execution: "stream", resumable: true });
        endpoints.forEach(endpoint =>
            endpoint.answer = (req, res) => {
                res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
                res.write("id: 1\ndata: a\n\n");
            }
        );
        let text = "";
        await cutOff.call({
            method: "POST",
            body: "x",
            onData: (received, disconnect) => {
                text = received;
                disconnect();
            },
        });
        expect(text).to.equal("id: 1\ndata: a\n\n");
        const [request] = endpoints.flatMap(({ requests }) => requests);
        await request?.closed;
    });

    it("breaks an answer off that the peer breaks off", async () => {
        await start("refused", { execution: "stream", resumable: false });
        endpoints.forEach(endpoint =>
            endpoint.answer = async (req, res) => {
                res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
                res.write("id: 1\ndata: a\n\n");
                await sleep(30);
                res.destroy();
            }
        );
        expect(await post("a1")).to.include({ status: 200, complete: false });
    });

    it("sends to endpoints itself again once connections to them open", async () => {
        await start("refused", { execution: "idempotent" });
        for (let i = 0; !cutOff.relay.reach.isCutOff; i++) {
            await post(`a${i}`);
        }
        cutOff.view.applyEndpointList(endpoints.map(({ endpoint }) => endpoint), cutOff.clock.now() + 10, 2);
        while (cutOff.relay.reach.isCutOff) {
            await sleep(20);
        }
        const forwarded = (): number => cutOff.log.events.filter(({ name }) => name === "request.forwarded").length;
        const before = forwarded();
        expect(await post("later")).to.include({ status: 200, complete: true });
        expect(forwarded()).to.equal(before);
    });
});
