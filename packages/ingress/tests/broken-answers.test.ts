import type { CatalogRoute } from "@lentilramp/catalog";
import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type CallerAnswer, IngressHarness } from "./ingress-harness.ts";

/** Writes the answer to the request with this number, counted from 0, on one connection. */
type RawAnswer = (socket: Socket, attemptId: string, n: number) => void;

/** Endpoints that write raw bytes, and an ingress before them. */
class RawEndpoints {
    /** Attempt ids of the requests that each endpoint received. */
    readonly received: string[][] = [];
    private readonly servers: Server[] = [];
    private readonly sockets: Socket[] = [];
    private ingress: IngressHarness | undefined;

    async start(answers: readonly RawAnswer[], route: Partial<CatalogRoute>): Promise<IngressHarness> {
        for (const answer of answers) {
            const ids: string[] = [];
            this.received.push(ids);
            const server = createServer(socket => {
                this.sockets.push(socket);
                let requests = 0;
                socket.on("error", () => undefined);
                socket.on("data", data => {
                    const id = /x-attempt-id: (\S+)/i.exec(data.toString("latin1"))?.[1];
                    if (id !== undefined) {
                        ids.push(id);
                        answer(socket, id, requests++);
                    }
                });
            });
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
            this.servers.push(server);
        }
        this.ingress = await IngressHarness.start(testCatalog({ routes: [testRoute(route)] }), []);
        this.ingress.view.applyEndpointList(
            this.servers.map((server, i) => ({
                id: `raw-${i}`,
                service: "app",
                host: "127.0.0.1",
                port: (server.address() as AddressInfo).port,
                failureDomain: "a",
                slots: 4,
                ready: true,
                reclaimable: false,
            })),
            this.ingress.clock.now(),
            1,
        );
        return this.ingress;
    }

    async close(): Promise<void> {
        await this.ingress?.close();
        this.sockets.forEach(socket => socket.destroy());
        this.servers.forEach(server => server.close());
    }
}

function sealedHead(attemptId: string, ...lines: string[]): string {
    return ["HTTP/1.1 200 OK", `X-Attempt-Id: ${attemptId}`, "X-Response-Seal: s", ...lines, "", ""].join("\r\n");
}

function refusal(attemptId: string): string {
    return [
        "HTTP/1.1 503 Service Unavailable",
        `X-Attempt-Id: ${attemptId}`,
        "X-Not-Executed: 1",
        "Content-Length: 0",
        "",
        "",
    ].join("\r\n");
}

describe("Answers of endpoints that break off or belong to another request", () => {
    let endpoints: RawEndpoints;

    beforeEach(() => {
        endpoints = new RawEndpoints();
    });

    afterEach(async () => {
        await endpoints.close();
    });

    const call = (ingress: IngressHarness, id: string): Promise<CallerAnswer> =>
        ingress.call({ method: "POST", body: "x", headers: { "x-attempt-id": id } });

    // Guards against callers that are told "not run" for a request that an endpoint runs, because the endpoint wrote
    // its refusal of the request before once more.
    it("does not take a repeated refusal of an earlier request for an answer to a later one", async () => {
        let firstId = "";
        const answer: RawAnswer = (socket, id, n) => {
            firstId ||= id;
            if (id === firstId) {
                socket.write(refusal(id));
            }
            else {
                socket.write(n === 0 ? sealedHead(id, "Content-Length: 2") + "ok" : refusal(firstId));
            }
        };
        const ingress = await endpoints.start([answer, answer], { execution: "at-most-once", maxAttempts: 2 });
        await call(ingress, "first");
        for (const id of ["second", "third", "fourth"]) {
            const { status } = await call(ingress, id);
            expect(status).to.be.oneOf([200, 502]);
            expect(endpoints.received.flat().filter(received => received === id)).to.have.length(1);
        }
    });

    // Guards against an empty success that looks complete, from an endpoint that stopped within the head.
    for (const cut of [12, 20, 40, 60]) {
        it(`answers no success when an endpoint closes after ${cut} bytes of the head`, async () => {
            const ingress = await endpoints.start([(socket, id) => {
                socket.end(sealedHead(id, "Content-Length: 0").slice(0, cut));
            }], { execution: "at-most-once" });
            expect((await call(ingress, "a")).status).to.equal(502);
        });
    }

    const withoutLength = (socket: Socket, id: string, body: string): void => {
        socket.end(sealedHead(id, "Content-Type: text/event-stream", "Connection: close") + body);
    };

    // Guards against a stream that looks complete although it ends inside an event.
    it("resumes a stream without a length that ends inside an event after its last complete one", async () => {
        let runs = 0;
        const answer: RawAnswer = (socket, id) => {
            withoutLength(socket, id, runs++ === 0 ? "id: 1\ndata: a\n\nid: 2\nda" : "id: 2\ndata: b\n\n");
        };
        const ingress = await endpoints.start([answer, answer], {
            execution: "stream",
            resumable: true,
            maxAttempts: 2,
        });
        expect(await call(ingress, "a")).to.include({
            status: 200,
            complete: true,
            body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        });
    });

    it("breaks off a stream that is not resumable and ends inside an event", async () => {
        const ingress = await endpoints.start([(socket, id) => {
            withoutLength(socket, id, "id: 1\ndata: a\n\nid: 2\nda");
        }], { execution: "stream", resumable: false });
        expect((await call(ingress, "a")).complete).to.equal(false);
    });

    it("passes on a stream without a length that ends after an event as complete", async () => {
        for (const resumable of [true, false]) {
            const ingress = await endpoints.start([(socket, id) => {
                withoutLength(socket, id, "id: 1\r\ndata: a\r\n\r\n");
            }], { execution: "stream", resumable });
            expect(await call(ingress, "a")).to.include({ complete: true, body: "id: 1\r\ndata: a\r\n\r\n" });
            await endpoints.close();
            endpoints = new RawEndpoints();
        }
    });

    // Guards against the text of an error in the middle of a stream, also when it comes as a success without events.
    it("writes nothing but events after those of a stream that broke off", async () => {
        let runs = 0;
        const answer: RawAnswer = (socket, id) => {
            const body = ["id: 1\ndata: a\n\nid: 2\nda", "upstream error: overloaded"][runs++] ?? "";
            withoutLength(socket, id, body);
        };
        const ingress = await endpoints.start([answer, answer], {
            execution: "stream",
            resumable: true,
            maxAttempts: 2,
        });
        expect(await call(ingress, "a")).to.include({ complete: false, body: "id: 1\ndata: a\n\n" });
    });
});
