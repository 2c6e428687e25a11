import type { ClaimCoordinator } from "@lentilramp/claims";
import { expectedTokens, ModelEngine } from "@lentilramp/stand-ins";
import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { bodyLimitBytes, send, startAll, testConfiguration, TestEntry } from "./entry-harness.ts";

const path = "/v1/chat/completions";
const noClaims = {} as ClaimCoordinator;

function chatRequest(maxTokens: number, overrides: object = {}) {
    return {
        model: "desk-model",
        messages: [{ role: "user", content: "Draft a quote for a crew of nine." }],
        max_tokens: maxTokens,
        stream: true,
        ...overrides,
    };
}

function textOf(events: string): string {
    return [...events.matchAll(/^data: (\{.*\})$/gm)]
        .map(match =>
            (JSON.parse(match[1] ?? "{}") as { choices?: { delta: { content: string; }; }[]; }).choices?.[0]?.delta
                .content ?? ""
        )
        .join("");
}

async function injectFault(address: { host: string; port: number; }, fault: object): Promise<void> {
    await fetch(`http://${address.host}:${address.port}/admin/faults`, { method: "POST", body: JSON.stringify(fault) });
}

describe("chat requests", () => {
    let engines: ModelEngine[];
    let addresses: { host: string; port: number; }[];
    let entry: TestEntry;

    async function start(options: object = {}): Promise<void> {
        engines = [new ModelEngine({ stepMs: 2, ...options }), new ModelEngine({ stepMs: 2, ...options })];
        addresses = await startAll(engines);
        entry = new TestEntry(testConfiguration(addresses, []), noClaims);
        await entry.start();
    }

    afterEach(async () => {
        await entry.close();
        await Promise.all(engines.map(engine => engine.close()));
    });

    // Guards against an entry that reads an event without an end for as long as an engine sends it.
    it("leaves an engine whose event does not end, and closes its connection", async () => {
        await start();
        const closed: Promise<unknown>[] = [];
        const endless = createServer(socket => {
            socket.on("error", () => undefined);
            closed.push(new Promise(resolve => socket.once("close", resolve)));
            socket.once("data", () => {
                socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                const more = (): void => {
                    while (!socket.destroyed && socket.write("4\r\nword\r\n".repeat(1_000))) {
                        // Writes until the connection is full.
                    }
                };
                socket.on("drain", more);
                more();
            });
        });
        endless.listen(0, "127.0.0.1");
        await once(endless, "listening");
        const { port } = endless.address() as AddressInfo;
        const only = new TestEntry(testConfiguration([{ host: "127.0.0.1", port }], []), noClaims);
        await only.start();
        try {
            const deadline = String(Math.floor(only.clock.now()) + 2_000);
            const answer = await send(only, path, JSON.stringify(chatRequest(3)), {
                "x-workspace": "hire-desk",
                "x-request-deadline": deadline,
            });
            expect(textOf(answer.body)).to.equal("");
            await Promise.all(closed);
        }
        finally {
            await only.close();
            endless.close();
        }
    });

    it("relays the whole answer in order, with the number of tokens sent as event ids", async () => {
        await start();
        const answer = await send(entry, path, JSON.stringify(chatRequest(30)));
        expect(answer.status).to.equal(200);
        expect(textOf(answer.body)).to.equal(expectedTokens(chatRequest(30)).join(""));
        expect([...answer.body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))).to.deep.equal(
            Array.from(Array(30).keys(), i => i + 1),
        );
        expect(answer.body.endsWith("data: [DONE]\n\n")).to.equal(true);
    });

    it("answers a request without streaming with one JSON document", async () => {
        await start();
        const answer = await send(entry, path, JSON.stringify(chatRequest(5, { stream: false })));
        const body = JSON.parse(answer.body) as { choices: { message: { content: string; }; }[]; };
        expect(body.choices[0]?.message.content).to.equal(expectedTokens(chatRequest(5)).join(""));
    });

    // Guards against an answer that ends early when the engine's connection is cut in the middle.
    it("continues on another engine when an answer is cut in the middle", async () => {
        await start();
        let cut = false;
        const answer = await send(entry, path, JSON.stringify(chatRequest(200)), undefined, () => {
            if (!cut) {
                cut = true;
                for (const address of addresses) {
                    void injectFault(address, { kind: "cut-streams" });
                }
            }
        });
        expect(textOf(answer.body)).to.equal(expectedTokens(chatRequest(200)).join(""));
        expect(entry.metrics.values.get("streams.resumed")).to.be.greaterThan(0);
    });

    // Guards against repeated or missing tokens when an engine resumes at another offset than requested.
    for (const resumeShift of [-7, 5]) {
        it(`sends each token once when an engine resumes ${resumeShift} tokens off the requested offset`, async () => {
            await start();
            let cut = false;
            const answer = await send(entry, path, JSON.stringify(chatRequest(200)), undefined, () => {
                if (!cut) {
                    cut = true;
                    const [first, second] = addresses as [
                        { host: string; port: number; },
                        { host: string; port: number; },
                    ];
                    const currentFirst = entry.streams.atEndpoint("engine-1").length > 0
                        ? [first, second]
                        : [second, first];
                    // Only the other engine resumes at a wrong offset, so that the first one can replace its attempt.
                    void injectFault(currentFirst[1] as { host: string; port: number; }, {
                        kind: "resume-shift",
                        tokens: resumeShift,
                    })
                        .then(() =>
                            injectFault(currentFirst[0] as { host: string; port: number; }, { kind: "cut-streams" })
                        );
                }
            });
            expect(textOf(answer.body)).to.equal(expectedTokens(chatRequest(200)).join(""));
        });
    }

    // Guards against a stream that fails because the engine that it was moved to does not hold its KV cache.
    it("continues without the KV cache when the engine refuses to use it", async () => {
        await start();
        let moved = false;
        const answer = await send(entry, path, JSON.stringify(chatRequest(200)), undefined, () => {
            const stream = [...entry.streams.atEndpoint("engine-1"), ...entry.streams.atEndpoint("engine-2")][0];
            const endpoint = entry.configuration.endpoints.find(other => other.id !== stream?.endpoint?.id);
            if (!moved && stream !== undefined && endpoint !== undefined) {
                moved = true;
                stream.moveTo({ endpoint, kvId: "absent", tokens: 10 });
            }
        });
        expect(moved).to.equal(true);
        expect(textOf(answer.body)).to.equal(expectedTokens(chatRequest(200)).join(""));
    });

    // Guards against a caller that cannot continue through another entry after its entry has failed.
    it("continues after the prefix that the caller has received", async () => {
        await start();
        const tokens = expectedTokens(chatRequest(40));
        const answer = await send(
            entry,
            path,
            JSON.stringify(chatRequest(40, { resume_text: tokens.slice(0, 15).join("") })),
            { "x-workspace": "hire-desk", "last-event-id": "15" },
        );
        expect(textOf(answer.body)).to.equal(tokens.slice(15).join(""));
        expect(/^id: (\d+)$/m.exec(answer.body)?.[1]).to.equal("16");
    });

    it("refuses a received text that is not a prefix of the answer", async () => {
        await start();
        const answer = await send(
            entry,
            path,
            JSON.stringify(chatRequest(40, { resume_text: "something else" })),
            { "x-workspace": "hire-desk", "last-event-id": "3" },
        );
        expect(answer.status).to.equal(409);
        expect(answer.body).to.contain("resume-mismatch");
    });

    // Guards against streams that continue at the engine after their caller has disconnected.
    it("cancels the request at the engine when the caller disconnects", async () => {
        await start();
        const body = JSON.stringify(chatRequest(5_000));
        const { host, port } = entry.http.address;
        const socket = connect(port, host);
        socket.write(
            `POST ${path} HTTP/1.1\r\nhost: x\r\nx-workspace: hire-desk\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
        await new Promise(resolve => socket.once("data", resolve));
        expect(entry.streams.size).to.equal(1);
        socket.destroy();
        while (entry.streams.size > 0 || engines.some(engine => [...engine.generator.running()].length > 0)) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    });

    // Guards against an entry that buffers a whole answer for a caller that reads slowly.
    it("sends the whole answer to a caller that reads slowly", async () => {
        await start({ stepMs: 1, maxBatch: 64 });
        const body = JSON.stringify(chatRequest(2_000));
        const { host, port } = entry.http.address;
        const socket = connect(port, host);
        socket.write(
            `POST ${path} HTTP/1.1\r\nhost: x\r\nx-workspace: hire-desk\r\nconnection: close\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
        let text = "";
        socket.setEncoding("utf8");
        socket.on("data", part => {
            text += String(part);
            socket.pause();
            setTimeout(() => socket.resume(), 2);
        });
        await new Promise(resolve => socket.once("close", resolve));
        const unframed = text.replaceAll(/\r\n[0-9a-f]+\r\n/g, "");
        expect(unframed).to.contain("data: [DONE]");
        expect([...unframed.matchAll(/^id: (\d+)$/gm)].length).to.equal(2_000);
    });

    describe("bad input", () => {
        const cases: [string, string, Record<string, string>, number, string][] = [
            ["malformed JSON", '{"model": ', { "x-workspace": "hire-desk" }, 400, "malformed-request"],
            ["missing messages", '{"model": "desk-model"}', { "x-workspace": "hire-desk" }, 400, "malformed-request"],
            [
                "a body over the limit",
                "x".repeat(bodyLimitBytes + 1),
                { "x-workspace": "hire-desk" },
                413,
                "body-too-large",
            ],
            ["no workspace", JSON.stringify(chatRequest(1)), {}, 400, "missing-header"],
            [
                "an unknown workspace",
                JSON.stringify(chatRequest(1)),
                { "x-workspace": "nobody" },
                403,
                "unknown-workspace",
            ],
            [
                "an unknown model",
                JSON.stringify(chatRequest(1, { model: "other" })),
                { "x-workspace": "hire-desk" },
                404,
                "unknown-model",
            ],
            [
                "an expired deadline",
                JSON.stringify(chatRequest(1)),
                { "x-workspace": "hire-desk", "x-request-deadline": "1" },
                408,
                "deadline-expired",
            ],
            [
                "a deadline that is not a number",
                JSON.stringify(chatRequest(1)),
                { "x-workspace": "hire-desk", "x-request-deadline": "soon" },
                400,
                "malformed-request",
            ],
            [
                "an unknown priority",
                JSON.stringify(chatRequest(1)),
                { "x-workspace": "hire-desk", "x-priority": "urgent" },
                400,
                "malformed-request",
            ],
            [
                "a received token count without text",
                JSON.stringify(chatRequest(9)),
                { "x-workspace": "hire-desk", "last-event-id": "4" },
                400,
                "malformed-request",
            ],
        ];
        for (const [name, body, headers, status, type] of cases) {
            it(`answers ${name} with a typed error and runs nothing`, async () => {
                await start();
                const answer = await send(entry, path, body, headers);
                expect(answer.status).to.equal(status);
                expect(JSON.parse(answer.body)).to.have.nested.property("error.type", type);
                expect(JSON.parse(answer.body)).to.have.nested.property("error.run", "not-run");
                expect(engines.map(engine => engine.generator.counters.started)).to.deep.equal([0, 0]);
            });
        }

        // Guards against requests to an endpoint that leaves, from an entry that gets no configuration changes.
        it("refuses new requests at once while draining or without a send permit, with retry-after", async () => {
            await start();
            entry.gate.startDraining();
            const draining = await send(entry, path, JSON.stringify(chatRequest(1)));
            expect(draining.status).to.equal(503);
            expect(draining.body).to.contain("draining");
            const isolated = new TestEntry(entry.configuration, noClaims);
            await isolated.start();
            (isolated.subscriber.permit as unknown as { until: number; }).until = isolated.clock.now() - 1;
            const refused = await send(isolated, path, JSON.stringify(chatRequest(1)));
            await isolated.close();
            expect(refused.status).to.equal(503);
            expect(refused.headers["retry-after"]).to.equal("1");
            expect(JSON.parse(refused.body)).to.have.nested.property("error.type", "no-permit");
            expect(engines.map(engine => engine.generator.counters.started)).to.deep.equal([0, 0]);
        });
    });

    // Guards against the state "not-run" when an engine may have run a part of the request.
    it("does not report not-run when every engine becomes silent after accepting the request", async () => {
        await start();
        await Promise.all(addresses.map(address => injectFault(address, { kind: "silence", direction: "answers" })));
        const answer = await send(entry, path, JSON.stringify(chatRequest(5)), {
            "x-workspace": "hire-desk",
            "x-request-deadline": String(Math.floor(entry.clock.now()) + 400),
        });
        expect(answer.status).to.be.oneOf([503, 200]);
        expect(answer.body).to.not.contain("not-run");
    });

    // Guards against a caller that is told to continue an answer of which it has received nothing.
    it("does not report a part as sent when an answer without streaming cannot be completed", async () => {
        await start({ stepMs: 20 });
        const answer = send(entry, path, JSON.stringify(chatRequest(200, { stream: false })), {
            "x-workspace": "hire-desk",
            "x-request-deadline": String(Math.floor(entry.clock.now()) + 1_500),
        });
        while (engines.every(engine => engine.generator.counters.started === 0)) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        await new Promise(resolve => setTimeout(resolve, 100));
        await Promise.all(engines.map(engine => engine.close()));
        const { status, body } = await answer;
        expect(status).to.equal(503);
        expect(JSON.parse(body)).to.have.nested.property("error.type", "endpoint-failed");
        expect(JSON.parse(body)).to.have.nested.property("error.run", "unknown");
    });
});
