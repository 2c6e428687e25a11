import type { CatalogRoute } from "@lentilramp/catalog";
import { describeIngress } from "@lentilramp/ingress";
import { expect } from "chai";
import { type AddressInfo, createServer } from "node:net";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { ownHost } from "../../protocol/tests/loopback-net.ts";
import {
    answerWithStatus,
    brokenAnswer,
    framings,
    invalidStatuses,
    type RawAnswer,
    RawEndpoint,
    resets,
} from "../../protocol/tests/raw-endpoint.ts";
import { type CallerAnswer, IngressHarness } from "./ingress-harness.ts";

const uploads = { "10 B": 10, "100 KB": 100_000, "8 MB": 8_000_000 };
const part = "x".repeat(500);

/** The lines that show an answer to be that of the endpoint to this request. */
function sealLines(head: string): string[] {
    const id = /^x-attempt-id: (\S+)/im.exec(head)?.[1] ?? "";
    return [`X-Attempt-Id: ${id}`, "X-Response-Seal: s"];
}

const sound = answerWithStatus("200", "ok", sealLines);

describe("Answers that are incomplete or invalid", () => {
    let endpoint: RawEndpoint | undefined;
    const ingresses: IngressHarness[] = [];

    afterEach(async () => {
        endpoint?.close();
        await Promise.all(ingresses.splice(0).map(ingress => ingress.close()));
    });

    function catalogOf(route: Partial<CatalogRoute>) {
        const catalog = testCatalog({ routes: [testRoute(route)] });
        return { ...catalog, limits: { ...catalog.limits, maxBodyBytes: 16_000_000 } };
    }

    function listOf(port: number, host = "127.0.0.1") {
        return [{
            id: "raw",
            service: "app",
            host,
            port,
            failureDomain: "a",
            slots: 4,
            ready: true,
            reclaimable: false,
        }];
    }

    /** Starts an ingress before a raw endpoint. */
    async function startBeforeEndpoint(
        answers: readonly RawAnswer[],
        route: Partial<CatalogRoute>,
        readsUpload = true,
    ): Promise<IngressHarness> {
        endpoint = await RawEndpoint.start(answers, readsUpload);
        const ingress = await IngressHarness.start(catalogOf(route), []);
        ingresses.push(ingress);
        ingress.view.applyEndpointList(listOf(endpoint.port), ingress.clock.now(), 1);
        return ingress;
    }

    /** Starts an ingress that reaches no endpoint, before a raw peer. */
    async function startBeforePeer(answers: readonly RawAnswer[], readsUpload = true): Promise<IngressHarness> {
        endpoint = await RawEndpoint.start(answers, readsUpload);
        const ingress = await IngressHarness.start(catalogOf({ execution: "at-most-once" }), []);
        ingresses.push(ingress);
        ingress.view.applyEndpointList(listOf(await closedPort(), ownHost), ingress.clock.now(), 1);
        const own = describeIngress({ ...ingress.options, inner: { host: "127.0.0.1", port: 1 } }, true);
        const peer = { ...own, name: "peer", host: "127.0.0.1", port: endpoint.port };
        ingress.view.applySyncAnswer(
            { leading: true, stewards: [], members: 2, roster: { tag: 1, ingresses: [own, peer] } },
            ingress.clock.now(),
        );
        return ingress;
    }

    /** Returns a port at the own address at which connections are refused. */
    async function closedPort(): Promise<number> {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, ownHost, resolve));
        const address = server.address();
        await new Promise(resolve => server.close(resolve));
        return (address as AddressInfo).port;
    }

    /** Returns status 0 where the caller's connection is reset before the head of an answer. */
    const post = (ingress: IngressHarness, bytes: number, id: string): Promise<CallerAnswer> =>
        ingress.call({ method: "POST", body: "u".repeat(bytes), headers: { "x-attempt-id": id } })
            .catch(() => ({ status: 0, headers: {}, body: "", complete: false }));

    function expectNoSuccess(answer: CallerAnswer, what: string): void {
        expect(answer.status === 200 && answer.complete, `${what}: whole 200 with ${answer.body.length} bytes`).to
            .equal(false);
    }

    // Guards against a part of a body that a caller takes for the whole, from an endpoint that resets its connection
    // while the upload is still being written.
    for (const [size, bytes] of Object.entries(uploads)) {
        for (const framing of framings) {
            for (const reset of resets) {
                it(`passes on no part as a whole: ${size}, ${framing}, reset ${reset} the last bytes`, async () => {
                    const broken = brokenAnswer(framing, reset, part, sealLines);
                    for (const readsUpload of [true, false]) {
                        const fresh = await startBeforeEndpoint([broken], { execution: "at-most-once" }, readsUpload);
                        for (let i = 0; i < 3; i++) {
                            expectNoSuccess(await post(fresh, bytes, `a${i}`), "new connection");
                        }
                        endpoint?.close();
                        const kept = await startBeforeEndpoint([sound, broken], { execution: "at-most-once" });
                        for (let i = 0; i < 3; i++) {
                            expect((await post(kept, 10, `s${i}`)).status).to.equal(200);
                            expectNoSuccess(await post(kept, bytes, `b${i}`), "kept connection");
                        }
                        endpoint?.close();
                        const peer = await startBeforePeer([broken], readsUpload);
                        for (let i = 0; i < 3; i++) {
                            expectNoSuccess(await post(peer, bytes, `p${i}`), "peer");
                        }
                        endpoint?.close();
                    }
                });
            }
        }
    }

    it("passes on no part of a stream as a whole, whatever its framing", async () => {
        for (const framing of framings) {
            for (const reset of resets) {
                const broken = brokenAnswer(framing, reset, "id: 1\ndata: a\n\n", sealLines);
                const ingress = await startBeforeEndpoint([broken], { execution: "stream", resumable: false });
                expectNoSuccess(await post(ingress, 10, "a"), `${framing}, ${reset}`);
                endpoint?.close();
            }
        }
    });

    // Node.js and HTTP allow any three digits; callers take an answer with such a status for one of the endpoint.
    for (const status of invalidStatuses) {
        for (const execution of ["at-most-once", "idempotent", "stream"] as const) {
            it(`answers 502 when an endpoint answers with status ${status} on a route of the kind ${execution}`, async () => {
                for (const upload of Object.values(uploads).slice(0, 2)) {
                    const answer = answerWithStatus(status, part, sealLines);
                    const ingress = await startBeforeEndpoint([answer], { execution });
                    expect((await post(ingress, upload, "a")).status).to.equal(502);
                    endpoint?.close();
                    const kept = await startBeforeEndpoint([sound, answer], { execution });
                    expect((await post(kept, 10, "a")).status).to.equal(200);
                    expect((await post(kept, upload, "b")).status).to.equal(502);
                    endpoint?.close();
                    expect(kept.log.events.filter(({ name }) => name === "request.broken")).to.deep.equal([]);
                }
            });
        }

        // A status that the request has not run for is a promise to the caller, and needs a valid answer too.
        it(`does not take status ${status} for "not run"`, async () => {
            const refusal = answerWithStatus(status, "", head => [...sealLines(head), "X-Not-Executed: 1"]);
            const ingress = await startBeforeEndpoint([refusal], { execution: "at-most-once" });
            expect((await post(ingress, 10, "a")).status).to.equal(502);
        });

        it(`answers 502 when a peer answers with status ${status}`, async () => {
            const ingress = await startBeforePeer([answerWithStatus(status, part, sealLines)]);
            expect((await post(ingress, 10, "a")).status).to.equal(502);
            expect(ingress.log.events.filter(({ name }) => name === "request.broken")).to.deep.equal([]);
        });
    }

    // Guards against an interim answer that is taken for the final one, or a request that hangs behind it.
    it("answers 502 when an interim answer is followed by a reset or an invalid status", async () => {
        const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        const followers: RawAnswer[] = [
            socket => void socket.write(interim, () => socket.resetAndDestroy()),
            socket => void socket.end(interim),
            (socket, head) => {
                socket.write(interim);
                answerWithStatus("600", part, sealLines)(socket, head);
            },
            socket =>
                void socket.write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
        ];
        for (const follower of followers) {
            const ingress = await startBeforeEndpoint([follower], { execution: "at-most-once" });
            expect((await post(ingress, 100_000, "a")).status).to.equal(502);
            endpoint?.close();
            const peer = await startBeforePeer([follower]);
            expect((await post(peer, 100_000, "a")).status).to.equal(502);
            endpoint?.close();
        }
    });

    it("passes on an answer whose connection is reset after its end", async () => {
        const whole: RawAnswer = (socket, head) => {
            sound(socket, head);
            setTimeout(() => socket.resetAndDestroy(), 30);
        };
        const ingress = await startBeforeEndpoint([whole], { execution: "at-most-once" });
        expect(await post(ingress, 10, "a")).to.include({ status: 200, complete: true, body: "ok" });
    });
});
