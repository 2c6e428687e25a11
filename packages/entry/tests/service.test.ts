import { PlainService } from "@lentilramp/stand-ins";
import { expect } from "chai";
import { once } from "node:events";
import { connect } from "node:net";
import { v7 as newKey } from "uuid";
import { send, startAll, type TestAnswer, testConfiguration, TestEntry } from "./entry-harness.ts";
import { FakeClaims } from "./fake-claims.ts";

const reserve = "/v1/services/hire-app/reserve";
const availability = "/v1/services/hire-app/availability";
const deadlineMs = 1_500;

describe("service calls", () => {
    let services: PlainService[];
    let addresses: { host: string; port: number; }[];
    let claims: FakeClaims;
    let entries: TestEntry[];

    beforeEach(async () => {
        services = [new PlainService({ latencyMs: 1 }), new PlainService({ latencyMs: 1 })];
        addresses = await startAll(services);
        claims = new FakeClaims();
        const configuration = testConfiguration([], addresses);
        entries = [
            new TestEntry(configuration, claims.coordinator()),
            new TestEntry(configuration, claims.coordinator()),
        ];
        await Promise.all(entries.map(entry => entry.start()));
    });

    afterEach(async () => {
        await Promise.all(entries.map(entry => entry.close()));
        await Promise.all(services.map(service => service.close()));
    });

    function call(key: string | undefined, body = '{"lens":1}', path = reserve, entry = 0): Promise<TestAnswer> {
        const target = entries[entry] as TestEntry;
        return send(target, path, body, {
            "x-workspace": "hire-desk",
            "x-request-deadline": String(Math.floor(target.clock.now()) + deadlineMs),
            ...(key === undefined ? {} : { "idempotency-key": key }),
        });
    }

    /** Sends a call and closes the connection right behind it, as a caller does that has given up meanwhile. */
    async function callAndLeave(key: string): Promise<void> {
        const { host, port } = (entries[0] as TestEntry).http.address;
        const socket = connect(port, host);
        await once(socket, "connect");
        const body = '{"lens":1}';
        socket.end(
            `POST ${reserve} HTTP/1.1\r\nHost: x\r\nX-Workspace: hire-desk\r\nIdempotency-Key: ${key}\r\n`
                + `Content-Length: ${body.length}\r\n\r\n${body}`,
        );
        socket.resume();
        await once(socket, "close");
    }

    function executions(key: string): number {
        return services.reduce((sum, service) => sum + service.executions(key), 0);
    }

    async function injectFaultAtAll(fault: object): Promise<void> {
        await Promise.all(
            addresses.map(({ host, port }) =>
                fetch(`http://${host}:${port}/admin/faults`, { method: "POST", body: JSON.stringify(fault) })
            ),
        );
    }

    function errorOf(answer: TestAnswer): { type: string; run: string; } {
        return (JSON.parse(answer.body) as { error: { type: string; run: string; }; }).error;
    }

    // Guards against a call that is executed although its caller had left when it was read.
    it("executes no call whose caller has left right behind it", async () => {
        const keys = [newKey(), newKey(), newKey()];
        await Promise.all(keys.map(callAndLeave));
        await new Promise(resolve => setTimeout(resolve, 100));
        expect(keys.map(executions)).to.deep.equal([0, 0, 0]);
    });

    // Guards against a second execution when the caller repeats a call through another entry.
    it("returns the stored answer when a call is repeated through another entry", async () => {
        const key = newKey();
        const first = await call(key);
        const second = await call(key, undefined, undefined, 1);
        expect(first.status).to.equal(200);
        expect(second.body).to.equal(first.body);
        expect(executions(key)).to.equal(1);
    });

    // Guards against two executions when two copies arrive at two entries at the same time.
    it("executes at most one of two simultaneous copies of a call", async () => {
        for (let i = 0; i < 20; i++) {
            const key = newKey();
            const answers = await Promise.all([call(key), call(key, undefined, undefined, 1)]);
            expect(executions(key)).to.be.at.most(1);
            for (const answer of answers.filter(other => other.status !== 200)) {
                expect(errorOf(answer).run).to.be.oneOf(["in-progress", "unknown", "not-run"]);
                expect(errorOf(answer).run === "not-run" && executions(key) > 0).to.equal(false);
            }
        }
    });

    // Guards against the state "not-run" after the endpoint may have executed the call.
    it("reports unknown when the answer is cut after the execution, and does not execute a repeat", async () => {
        await injectFaultAtAll({ kind: "cut-after-execution" });
        const key = newKey();
        const first = await call(key);
        expect(errorOf(first)).to.include({ type: "outcome-unknown", run: "unknown" });
        await injectFaultAtAll({ kind: "clear" });
        const second = await call(key);
        expect(errorOf(second).run).to.be.oneOf(["in-progress", "unknown"]);
        expect(executions(key)).to.equal(1);
    });

    // Guards against a call that waits for a silent endpoint beyond its deadline.
    it("reports unknown at the deadline when the endpoint does not answer", async () => {
        await injectFaultAtAll({ kind: "hang-before-execution" });
        expect(errorOf(await call(newKey())).run).to.equal("unknown");
    });

    // Guards against a key that cannot be used any more after a refused connection, although no call was sent.
    it("tries another endpoint after a refused connection", async () => {
        await services[0]?.close();
        for (let i = 0; i < 5; i++) {
            const key = newKey();
            expect((await call(key)).status).to.equal(200);
            expect(executions(key)).to.equal(1);
        }
    });

    it("reports not-run, also on a repeat, when no endpoint accepts a connection", async () => {
        await Promise.all(services.map(service => service.close()));
        const key = newKey();
        expect(errorOf(await call(key)).run).to.equal("not-run");
        expect(errorOf(await call(key)).run).to.equal("not-run");
    });

    // Guards against a claim without a majority of the claim replicas.
    it("dispatches nothing while two of three claim replicas are unreachable", async () => {
        claims.unreachable.add("a").add("b");
        const key = newKey();
        const answer = await call(key);
        expect(errorOf(answer).run).to.be.oneOf(["undecided", "unknown"]);
        expect(executions(key)).to.equal(0);
    });

    it("refuses a key with another body and a call without a key", async () => {
        const key = newKey();
        await call(key);
        expect((await call(key, '{"lens":2}')).status).to.equal(422);
        expect(errorOf(await call(undefined)).type).to.equal("key-required");
        expect(errorOf(await call("not-a-key")).type).to.equal("invalid-key");
        expect(executions(key)).to.equal(1);
    });

    // Guards against a final answer about a key whose call may have run a day ago.
    it("reports unknown for an expired key, not-run for a malformed and undecided for a future one", async () => {
        const dayAgo = newKey({ msecs: Date.now() - 25 * 3_600_000 });
        expect(errorOf(await call(dayAgo))).to.include({ type: "invalid-key", run: "unknown" });
        expect(errorOf(await call("not-a-key"))).to.include({ type: "invalid-key", run: "not-run" });
        const ahead = newKey({ msecs: Date.now() + 3_600_000 });
        expect(errorOf(await call(ahead))).to.include({ type: "invalid-key", run: "undecided" });
    });

    // Guards against the final state "not-run" for a key that can still be claimed.
    it("reports undecided instead of not-run when a call with a key is refused before the claim", async () => {
        entries[0]?.gate.startDraining();
        const key = newKey();
        expect(errorOf(await call(key)).run).to.equal("undecided");
        expect((await call(key, undefined, undefined, 1)).status).to.equal(200);
    });

    // Guards against an error to the caller when one endpoint fails. The budget allows one retry for ten requests, so
    // the test sends calls before the fault; the endpoint is ejected after three failures in a row.
    it("retries an idempotent call at another endpoint, within the retry budget", async () => {
        for (let i = 0; i < 60; i++) {
            expect((await call(undefined, undefined, availability)).status).to.equal(200);
        }
        await fetch(`http://${addresses[0]?.host}:${addresses[0]?.port}/admin/faults`, {
            method: "POST",
            body: JSON.stringify({ kind: "cut-after-execution" }),
        });
        for (let i = 0; i < 10; i++) {
            expect((await call(undefined, undefined, availability)).status).to.equal(200);
        }
    });

    // Guards against a retry storm: without a budget each failing call is sent to every endpoint.
    it("sends a failing call once when the retry budget is empty, and reports unknown", async () => {
        await injectFaultAtAll({ kind: "cut-after-execution" });
        const answer = await call(undefined, undefined, availability);
        expect(answer.status).to.equal(504);
        expect(errorOf(answer).run).to.equal("unknown");
        expect(services.reduce((sum, service) => sum + service.totalExecutions, 0)).to.equal(1);
    });

    it("answers unknown services and operations with typed errors", async () => {
        expect(errorOf(await call(undefined, "{}", "/v1/services/other/x")).type).to.equal("unknown-service");
        expect(errorOf(await call(undefined, "{}", "/v1/services/hire-app/other")).type).to.equal("unknown-operation");
        expect(errorOf(await call(newKey(), "{")).type).to.equal("malformed-request");
    });
});
