import type { CatalogRoute } from "@lentilramp/catalog";
import { describeIngress } from "@lentilramp/ingress";
import { expect } from "chai";
import type { OutgoingHttpHeaders } from "node:http";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, type CallerConnection, IngressHarness, ScriptedEndpoint } from "./ingress-harness.ts";

const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];
const wholeLength = events.join("").length;
const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Fields that describe the bytes of one body, and the media type, which all parts of a stream share. */
const described = {
    "content-type": "text/event-stream",
    "content-length": wholeLength,
    "content-md5": "Q2hlY2sgSW50ZWdyaXR5IQ==",
    "content-digest": "sha-256=:X48E9qOokqqrvdts8nOJRJN3OWDUoyWxBf7kbu9DBPE=:",
    "repr-digest": "sha-256=:X48E9qOokqqrvdts8nOJRJN3OWDUoyWxBf7kbu9DBPE=:",
    digest: "sha-256=X48E9qOokqqrvdts8nOJRJN3OWDUoyWxBf7kbu9DBPE=",
    etag: '"one"',
    "content-range": `bytes 0-${wholeLength - 1}/${wholeLength}`,
    "last-modified": "Mon, 07 Dec 2026 18:12:30 GMT",
};

const head = (id: unknown, headers: OutgoingHttpHeaders): OutgoingHttpHeaders => ({
    "x-attempt-id": String(id),
    "x-response-seal": "s",
    ...headers,
});

/** States the length of the whole stream, and breaks off inside its second event. */
const breaking: Answer = async (req, res) => {
    res.writeHead(200, head(req.headers["x-attempt-id"], described));
    res.write(`${events[0]}id: 2\nda`);
    await sleep(30);
    res.destroy();
};

/** Answers with `text` and states its length. */
const rest = (text: string, headers: OutgoingHttpHeaders = {}): Answer => (req, res) => {
    res.writeHead(200, head(req.headers["x-attempt-id"], { "content-length": text.length, ...headers }));
    res.end(text);
};

const sameRest = rest(events.slice(1).join(""));
const longerRest = rest(`x-weight-versions: 2\n${events.slice(1).join("")}`);
const shorterRest = rest("id: 2\ndata: b\n\nid: 3\n\n");
/** A port on which nothing listens. */
const refusedPort = 1;
const longError = "x".repeat(300_000);

function request(id: string, version = "1.1"): string {
    return `GET /x HTTP/${version}\r\nHost: desk.example\r\nX-Attempt-Id: ${id}\r\nApi-Key: key-1\r\n`
        + "X-Deadline-Ms: 4000\r\n\r\n";
}

/** Reads one answer in chunks off the bytes of a connection; undefined unless it is whole and nothing follows it. */
function wholeChunkedBody(bytes: string): string | undefined {
    const chunks = bytes.slice(bytes.indexOf("\r\n\r\n") + 4);
    let body = "";
    for (let at = 0; at < chunks.length;) {
        const lineEnd = chunks.indexOf("\r\n", at);
        const size = Number.parseInt(chunks.slice(at, lineEnd), 16);
        if (lineEnd < 0 || Number.isNaN(size)) {
            return undefined;
        }
        body += chunks.slice(lineEnd + 2, lineEnd + 2 + size);
        at = lineEnd + 4 + size;
        if (size === 0) {
            return at === chunks.length ? body : undefined;
        }
    }
    return undefined;
}

describe("Relay that joins the answers of several endpoints", () => {
    const endpoints: ScriptedEndpoint[] = [];
    const ingresses: IngressHarness[] = [];

    async function start(answers: readonly Answer[], route: Partial<CatalogRoute> = {}): Promise<IngressHarness> {
        endpoints.push(...answers.map((answer, i) => new ScriptedEndpoint(`e${i + 1}`, answer)));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const ingress = await startIngress(endpoints.slice(0, 1), route);
        return ingress;
    }

    async function startIngress(
        listed: readonly ScriptedEndpoint[],
        route: Partial<CatalogRoute>,
        name = "ingress",
    ): Promise<IngressHarness> {
        const routes = [
            testRoute({ execution: "stream", resumable: true, timeoutMs: 4_000, maxAttempts: 3, ...route }),
        ];
        const ingress = await IngressHarness.start(testCatalog({ routes }), listed, {}, { name, retryReserve: 100 });
        ingresses.push(ingress);
        return ingress;
    }

    /** Lists all endpoints once the first one has a request, so that the second one answers the rest of it. */
    async function listRest(ingress: IngressHarness): Promise<void> {
        while (endpoints[0]?.requests.length === 0) {
            await sleep(1);
        }
        ingress.view.applyEndpointList(endpoints.map(({ endpoint }) => endpoint), ingress.clock.now(), 2);
    }

    /** Sends a request on a kept connection, whose stream is resumed, and returns the bytes received. */
    async function joinedStream(ingress: IngressHarness, lastText: string): Promise<[CallerConnection, string]> {
        const connection = await ingress.connect();
        connection.send(request("first"));
        await listRest(ingress);
        await Promise.race([connection.receive(lastText), sleep(2_000)]);
        await sleep(50);
        return [connection, connection.received];
    }

    afterEach(async () => {
        await Promise.all(ingresses.splice(0).map(ingress => ingress.close()));
        endpoints.splice(0).forEach(endpoint => endpoint.close());
    });

    // Guards against an incomplete stream that its stated length makes look complete, with its rest as the answer to the
    // next request of the connection, and against one that never ends for its caller.
    for (
        const [name, answer, lastText, body] of [
            ["as long as stated", sameRest, "data: c\n\n", events.join("")],
            [
                "longer than stated",
                longerRest,
                "data: c\n\n",
                `${events[0]}x-weight-versions: 2\n${events.slice(1).join("")}`,
            ],
            ["shorter than stated", shorterRest, "id: 3\n\n", `${events[0]}id: 2\ndata: b\n\nid: 3\n\n`],
        ] as const
    ) {
        it(`ends a resumed stream that is ${name}, and answers the next request of the connection`, async () => {
            const ingress = await start([breaking, answer]);
            const [connection, bytes] = await joinedStream(ingress, lastText);
            expect(wholeChunkedBody(bytes)).to.equal(body);
            endpoints[0]!.answer = endpoints[1]!.answer = rest(events.join(""));
            connection.send(request("second"));
            await connection.receive("x-attempt-id: second");
            await connection.receive("data: c\n\n\r\n0\r\n\r\n");
            expect(wholeChunkedBody(connection.received.slice(bytes.length))).to.equal(events.join(""));
            connection.reset();
        });
    }

    it("passes on the media type and no field that describes the bytes of the first body", async () => {
        const ingress = await start([breaking, sameRest]);
        const answer = ingress.call({});
        await listRest(ingress);
        const { headers, complete } = await answer;
        expect(complete).to.equal(true);
        expect(headers).to.include({ "content-type": "text/event-stream", "x-response-seal": "s" });
        const kept = Object.keys(headers).filter(name => name in described);
        expect(kept).to.deep.equal(["content-type"]);
    });

    it("ends the connection with a resumed stream for a caller of HTTP/1.0", async () => {
        const ingress = await start([breaking, longerRest]);
        const bytes = ingress.sendRaw(request("first", "1.0"));
        await listRest(ingress);
        const [answerHead = "", body] = (await bytes).split(/\r\n\r\n/);
        expect(answerHead).to.not.match(/^(content-length|transfer-encoding):/im);
        expect(body).to.equal(`${events[0]}x-weight-versions: 2\n${events.slice(1).join("")}`);
    });

    // Guards against the events of a stream behind the beginning of an error's body.
    it("does not go on after a part of an answer that is no stream", async () => {
        const brokenError: Answer = async (req, res) => {
            res.writeHead(404, head(req.headers["x-attempt-id"], { "content-length": 2 * longError.length }));
            res.write(longError);
            await sleep(100);
            res.destroy();
        };
        const ingress = await start([brokenError, rest(events.join(""))]);
        const connection = await ingress.connect();
        connection.send(request("first"));
        await listRest(ingress);
        await connection.closed();
        expect(connection.statuses).to.deep.equal([404]);
        expect(connection.received).to.not.include("data:");
        expect(endpoints[1]?.requests.length).to.equal(0);
    });

    // Guards against bytes under the media type or the encoding of another answer.
    for (const headers of [{ "content-type": "application/json" }, { "content-encoding": "gzip" }]) {
        it(`does not join an answer with ${JSON.stringify(headers)}`, async () => {
            const ingress = await start([breaking, rest(events.slice(1).join(""), headers)], { maxAttempts: 2 });
            const answer = ingress.call({});
            await listRest(ingress);
            expect(await answer).to.include({ status: 200, body: events[0], complete: false });
            expect(endpoints[1]?.requests.length).to.equal(1);
        });
    }

    // Guards against a stream that breaks off inside an event, and that its stated length makes look complete.
    for (const resumable of [false, true]) {
        it(`does not let a stream look complete that ends inside an event (resumable: ${resumable})`, async () => {
            const ingress = await start([rest("id: 1\ndata: a\n\nid: 2\ndata: b\n")], { resumable, maxAttempts: 1 });
            expect((await ingress.call({})).complete).to.equal(false);
        });
    }

    /** Lets an ingress forward to a peer what it can send to no endpoint. */
    function cutOff(ingress: IngressHarness, { host, port }: { host: string; port: number; }): void {
        const { view, clock, options } = ingress;
        view.applyEndpointList([{ ...endpoints[0]!.endpoint, port: refusedPort }], clock.now(), 2);
        const inner = { host: "127.0.0.1", port: 1 };
        const peer = { ...options, name: "peer", callers: { host, port }, inner };
        const roster = { tag: 1, ingresses: [{ ...options, inner }, peer].map(one => describeIngress(one, true)) };
        view.applySyncAnswer({ leading: true, stewards: [], members: 2, roster }, clock.now());
    }

    // Guards against a peer that restates the length of the first answer.
    it("passes a resumed stream on from a peer without a length", async () => {
        const peer = await start([breaking, longerRest]);
        const ingress = await startIngress([], {}, "cut-off");
        cutOff(ingress, peer.options.callers);
        const connection = await ingress.connect();
        connection.send(request("first"));
        await listRest(peer);
        await connection.receive("data: c\n\n\r\n0\r\n\r\n");
        expect(wholeChunkedBody(connection.received)).to.equal(
            `${events[0]}x-weight-versions: 2\n${events.slice(1).join("")}`,
        );
        connection.reset();
    });

    // Guards against a peer of an earlier version, which passes on the length of the first answer.
    it("does not let a stream look complete that a peer ends inside an event", async () => {
        await start([rest("id: 1\ndata: a\n\nid: 2\nda")]);
        const ingress = await startIngress([], {}, "cut-off");
        // The endpoint stands in for the peer.
        cutOff(ingress, endpoints[0]!.endpoint);
        const { complete, body } = await ingress.call({});
        expect({ complete, body }).to.deep.equal({ complete: false, body: "id: 1\ndata: a\n\nid: 2\nda" });
    });
});

describe("Relay of an answer without a body", () => {
    let endpoint: ScriptedEndpoint;
    let ingress: IngressHarness;

    afterEach(async () => {
        await ingress.close();
        endpoint.close();
    });

    // Guards against a connection whose next answer is taken for the body of one that has none.
    for (const [status, method] of [[200, "HEAD"], [204, "GET"], [304, "GET"]] as const) {
        it(`leaves the connection usable after ${status} to ${method}`, async () => {
            endpoint = new ScriptedEndpoint("e1", (req, res) => {
                res.writeHead(status, head(req.headers["x-attempt-id"], { "content-length": 20, etag: '"one"' }));
                res.end();
            });
            await endpoint.start();
            const routes = [testRoute({ execution: "stream", resumable: true })];
            ingress = await IngressHarness.start(testCatalog({ routes }), [endpoint]);
            const connection = await ingress.connect();
            connection.send(request("first").replace("GET", method));
            await connection.receive("\r\n\r\n");
            const first = connection.received;
            connection.send(request("second").replace("GET", method));
            await connection.receive("x-attempt-id: second");
            expect(first.slice(first.indexOf("\r\n\r\n"))).to.equal("\r\n\r\n");
            expect(connection.statuses).to.deep.equal([status, status]);
            connection.reset();
        });
    }
});
