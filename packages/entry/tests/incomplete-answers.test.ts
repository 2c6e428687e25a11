import { UpstreamClient, UpstreamError } from "@lentilramp/entry";
import { SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { z } from "zod";
import {
    answerWithStatus,
    brokenAnswer,
    framings,
    invalidStatuses,
    RawEndpoint,
    resets,
} from "../../protocol/tests/raw-endpoint.ts";
import { send, type TestAnswer, testConfiguration, TestEntry } from "./entry-harness.ts";
import { FakeClaims } from "./fake-claims.ts";

const uploads = { "10 B": 10, "60 KB": 60_000 };
const part = "x".repeat(500);

describe("Answers of services and engines that are incomplete or invalid", () => {
    let endpoint: RawEndpoint;
    let entry: TestEntry | undefined;

    afterEach(async () => {
        endpoint.close();
        await entry?.close();
        entry = undefined;
    });

    async function start(isEngine = false): Promise<TestEntry> {
        const addresses = [{ host: "127.0.0.1", port: endpoint.port }];
        const configuration = testConfiguration(isEngine ? addresses : [], isEngine ? [] : addresses);
        entry = new TestEntry(configuration, new FakeClaims().coordinator());
        await entry.start();
        return entry;
    }

    function call(target: TestEntry, bytes: number): Promise<TestAnswer> {
        return send(target, "/v1/services/hire-app/availability", JSON.stringify({ a: "u".repeat(bytes) }), {
            "x-workspace": "hire-desk",
            "x-request-deadline": String(Math.floor(target.clock.now()) + 1_500),
        });
    }

    // Guards against a part of a body that a caller takes for the whole.
    for (const [size, bytes] of Object.entries(uploads)) {
        for (const framing of framings) {
            it(`passes on no part of a service's answer as a whole: ${size}, ${framing}`, async () => {
                for (const reset of resets) {
                    for (const readsUpload of [true, false]) {
                        endpoint = await RawEndpoint.start([brokenAnswer(framing, reset, part)], readsUpload);
                        const { status } = await call(await start(), bytes);
                        expect(status, `reset ${reset}`).to.be.within(500, 599);
                        endpoint.close();
                        await entry?.close();
                        entry = undefined;
                    }
                }
            });
        }
    }

    // Guards against statuses that callers take for those of an endpoint, or that end in an internal error.
    for (const status of invalidStatuses) {
        it(`passes on no answer with status ${status} of a service or an engine`, async () => {
            endpoint = await RawEndpoint.start([answerWithStatus(status, part)]);
            const target = await start();
            expect((await call(target, 10)).status).to.be.within(500, 504);
            expect(target.log.events.filter(({ level }) => level === "error")).to.deep.equal([]);
            endpoint.close();
            await target.close();
            endpoint = await RawEndpoint.start([answerWithStatus(status, part)]);
            const chat = await send(
                await start(true),
                "/v1/chat/completions",
                JSON.stringify({ model: "desk-model", messages: [{ role: "user", content: "a" }], stream: true }),
            );
            expect(chat.body).to.not.include(part);
            expect(chat.status === 200 || chat.status >= 500 && chat.status <= 504, String(chat.status)).to.equal(true);
            expect(chat.body).to.not.include("[DONE]");
        });
    }

    // Health checks and load reports: a document in an error answer, and a part of one, say nothing of the endpoint.
    it("reads a document only from a whole answer with a status of success", async () => {
        const upstream = new UpstreamClient(new SystemClock());
        const clock = new SystemClock();
        const answers = [
            ...["500", "404", ...invalidStatuses].map(status => answerWithStatus(status, "7")),
            ...framings.flatMap(framing => resets.map(reset => brokenAnswer(framing, reset, "7"))),
        ];
        for (const [i, answer] of answers.entries()) {
            endpoint = await RawEndpoint.start([answer]);
            const address = { id: `e${i}`, host: "127.0.0.1", port: endpoint.port };
            const result = await upstream.getJson(address, "/v1/load", z.number(), clock.now() + 1_000)
                .catch((err: unknown) => err);
            expect(result, `answer ${i}`).to.be.instanceOf(Error);
            endpoint.close();
        }
        endpoint = await RawEndpoint.start([answerWithStatus("200", "7")]);
        const address = { id: "sound", host: "127.0.0.1", port: endpoint.port };
        expect(await upstream.getJson(address, "/v1/load", z.number(), clock.now() + 1_000)).to.equal(7);
        upstream.close();
    });

    it("names an endpoint whose status is invalid as broken, so that a call may have run", async () => {
        endpoint = await RawEndpoint.start([answerWithStatus("600", "7")]);
        const clock = new SystemClock();
        const upstream = new UpstreamClient(clock);
        const err = await upstream.send({
            endpoint: { id: "e", host: "127.0.0.1", port: endpoint.port },
            method: "GET",
            path: "/",
            headers: {},
            deadline: clock.now() + 1_000,
        }).catch((reason: unknown) => reason);
        expect(err).to.be.instanceOf(UpstreamError);
        expect(err).to.include({ failure: "broken", endpoint: "e" });
        upstream.close();
    });
});
