import { JsonClient, PlatformError } from "@lentilramp/protocol";
import { SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { z } from "zod";
import {
    answerWithStatus,
    brokenAnswer,
    framings,
    invalidStatuses,
    type RawAnswer,
    RawEndpoint,
    resets,
} from "./raw-endpoint.ts";

const uploads = { "10 B": 10, "100 KB": 100_000, "8 MB": 8_000_000 };

describe("JsonClient", () => {
    const clock = new SystemClock();
    let client: JsonClient;
    let endpoint: RawEndpoint | undefined;

    beforeEach(() => {
        client = new JsonClient(clock);
    });

    afterEach(() => {
        client.close();
        endpoint?.close();
    });

    async function call(answers: readonly RawAnswer[], bytes = 10, readsUpload = true): Promise<unknown> {
        endpoint?.close();
        endpoint = await RawEndpoint.start(answers, readsUpload);
        const url = new URL(`http://127.0.0.1:${endpoint.port}/x`);
        const send = (length: number) => client.call("POST", url, z.unknown(), clock.now() + 2_000, "u".repeat(length));
        // A connection is kept only if its request has been written before the answer comes.
        for (let i = 1; i < answers.length; i++) {
            await send(10);
        }
        return await send(bytes).catch((err: unknown) => err);
    }

    // Guards against a part of a document that is taken for the whole, such as a number or a list of endpoints.
    for (const [size, bytes] of Object.entries(uploads)) {
        it(`takes no part of an answer for the whole, upload of ${size}`, async () => {
            const sound = answerWithStatus("200", "{}");
            for (const framing of framings) {
                for (const reset of resets) {
                    const broken = brokenAnswer(framing, reset, "123");
                    for (
                        const result of [
                            await call([broken], bytes),
                            await call([broken], bytes, false),
                            await call([sound, broken], bytes),
                        ]
                    ) {
                        expect(result, `${framing}, ${reset}`).to.be.instanceOf(PlatformError);
                        expect((result as PlatformError).status, `${framing}, ${reset}`).to.equal(undefined);
                    }
                }
            }
        });
    }

    // A status below 500 counts as a refusal of an order: its sender takes the order for one that was not carried out.
    for (const status of [...invalidStatuses, "101"]) {
        it(`takes status ${status} for no answer`, async () => {
            for (
                const answers of [[answerWithStatus(status, "{}")], [
                    answerWithStatus("200", "{}"),
                    answerWithStatus(status, "{}"),
                ]]
            ) {
                const result = await call(answers);
                expect(result).to.be.instanceOf(PlatformError);
                expect((result as PlatformError).status).to.equal(undefined);
            }
        });
    }

    it("takes an interim answer for no answer, and the one behind it for one", async () => {
        const interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
        expect(
            await call([(socket, head) => {
                socket.write(interim);
                answerWithStatus("200", "[7]")(socket, head);
            }]),
        ).to.deep.equal([7]);
        const broken = await call([socket => void socket.write(interim, () => socket.resetAndDestroy())]);
        expect(broken).to.be.instanceOf(PlatformError);
    });

    it("names the status of a refusal", async () => {
        expect(await call([answerWithStatus("409", "{}")])).to.include({ status: 409 });
    });
});
