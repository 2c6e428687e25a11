import { unreadAnswerTimeoutMs } from "@lentilramp/protocol";
import type { MemoryMetrics } from "@lentilramp/runtime";
import { expect } from "chai";
import { connect, type Socket } from "node:net";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";

const bodyBytes = 250_000;
/** More than the system holds for a caller that does not read. */
const answers = 40;
const shortMs = 1_000;
const longMs = 14_000;

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** A caller that sends requests ahead, and does not read until it is told to. */
class LazyCaller {
    readonly startedAt = performance.now();
    private readonly socket: Socket;
    private readonly closed: Promise<unknown>;
    private bytes = 0;

    constructor(ingress: IngressHarness, deadlineMs: number) {
        this.socket = connect({ port: ingress.options.callers.port, host: "127.0.0.1", allowHalfOpen: true });
        this.socket.on("error", () => undefined);
        this.socket.on("readable", () => undefined);
        this.closed = new Promise(resolve => this.socket.once("close", resolve));
        const get = "GET /x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a\r\nApi-Key: key-1\r\n"
            + `X-Deadline-Ms: ${deadlineMs}\r\n\r\n`;
        this.socket.write(get.repeat(answers));
    }

    closeSendingSide(): void {
        this.socket.end();
    }

    /** Reads 10,000 bytes each 100 ms. */
    async readSlowly(forMs: number): Promise<void> {
        for (const until = Date.now() + forMs; Date.now() < until;) {
            this.bytes += (this.socket.read(10_000) as Buffer | null)?.length ?? 0;
            await sleep(100);
        }
    }

    /** Reads the rest; resolves with the number of whole bodies received. */
    async readAll(): Promise<number> {
        this.socket.removeAllListeners("readable").on("data", (part: Buffer) => {
            this.bytes += part.length;
            if (this.bytes >= answers * bodyBytes) {
                this.socket.end();
            }
        });
        this.socket.resume();
        await this.closed;
        return Math.floor(this.bytes / bodyBytes);
    }

    destroy(): void {
        this.socket.destroy();
    }
}

describe("CallerServer with answers that are not read", function() {
    this.timeout(60_000);
    let endpoint: ScriptedEndpoint;
    let ingress: IngressHarness;
    let callers: LazyCaller[];

    const setUp = async (): Promise<void> => {
        callers = [];
        const length = { "content-length": String(bodyBytes) };
        endpoint = new ScriptedEndpoint("e1", sealed(200, "x".repeat(bodyBytes), length));
        await endpoint.start();
        const routes = [testRoute({ timeoutMs: longMs, firstByteTargetMs: longMs })];
        ingress = await IngressHarness.start(testCatalog({ routes }), [endpoint]);
    };
    const tearDown = async (): Promise<void> => {
        callers.forEach(caller => caller.destroy());
        await ingress.close();
        endpoint.close();
    };

    beforeEach(setUp);

    afterEach(tearDown);

    const start = (deadlineMs = shortMs): LazyCaller => {
        const caller = new LazyCaller(ingress, deadlineMs);
        callers.push(caller);
        return caller;
    };
    const cuts = () => ingress.log.events.filter(({ name }) => name === "caller.cut");
    const counted = (name: string): number => (ingress.relay.metrics as MemoryMetrics).values.get(name) ?? 0;
    /** Requests whose answer the ingress gave up or broke off at the deadline. */
    const lateRequests = (): number =>
        ingress.log.events.filter(({ name, fields }) =>
            name === "request.given-up" && fields?.["reason"] === "time is up"
            || name === "caller.cut" && fields?.["cause"] === "deadline"
        ).length;
    /**
     * Starts callers; resolves once all of their answers are ready. If the process gets too little processor time, the
     * deadlines of some requests pass first. The answers to these are short, so that the system may take all answers, and
     * the ingress holds none to close the connection for. The callers then start again, with another ingress.
     */
    const startReady = async (count: number): Promise<LazyCaller[]> => {
        for (;;) {
            const startedAt = performance.now();
            const started = Array.from({ length: count }, () => start());
            while (counted("requests") < count * answers && cuts().length === 0) {
                await sleep(5);
            }
            if (lateRequests() === 0 || performance.now() - startedAt < shortMs) {
                expect(counted("whole_answer.count"), "whole answers").to.equal(count * answers);
                return started;
            }
            await tearDown();
            await setUp();
        }
    };
    const openSockets = (): number =>
        (ingress as unknown as { server: { sockets: Set<unknown>; }; }).server.sockets.size;

    // Guards against ready answers that are lost: at this rate the system takes bytes from the ingress each 14 s or so.
    it("sends all answers to a caller that reads 100 KB a second, long after the deadline", async () => {
        const caller = start();
        await caller.readSlowly(16_000);
        expect(openSockets()).to.equal(1);
        expect(await caller.readAll()).to.equal(answers);
        expect(cuts()).to.deep.equal([]);
    });

    it("sends all answers to a caller that pauses for several seconds after the deadline", async () => {
        const caller = start();
        await sleep(unreadAnswerTimeoutMs - 1_000);
        expect(await caller.readAll()).to.equal(answers);
    });

    // Guards against answers that are lost although their caller may take them until the deadline.
    it("sends all answers to a caller that begins to read before a later deadline", async () => {
        const caller = start(longMs);
        await sleep(unreadAnswerTimeoutMs + 4_000);
        expect(await caller.readAll()).to.equal(answers);
        expect(cuts()).to.deep.equal([]);
    });

    // Guards against a half-closed connection that holds memory for longer than an open one.
    it("closes a half-closed connection as an open one, and says so", async () => {
        const [open, halfClosed] = await startReady(2);
        halfClosed!.closeSendingSide();
        const closedSidesAt = performance.now();
        // The time counts from the arrival of the requests, which may be answered some time later.
        await sleep(open!.startedAt + shortMs + unreadAnswerTimeoutMs - 500 - performance.now());
        expect(openSockets()).to.equal(2);
        await sleep(closedSidesAt + shortMs + unreadAnswerTimeoutMs + 2_000 - performance.now());
        expect(openSockets()).to.equal(0);
        expect(ingress.relay.requestsInFlight).to.equal(0);
        expect(cuts().length).to.be.above(0);
        for (const { fields } of cuts()) {
            expect(fields).to.include({ cause: "unread", read: true });
        }
    });

    // Guards against a connection whose time starts anew without progress, so that it stays for as long as its caller.
    it("closes a connection whose caller stops reading", async () => {
        const [caller] = await startReady(1);
        await caller!.readSlowly(4_000);
        await sleep(2 * unreadAnswerTimeoutMs + 1_500);
        expect(openSockets()).to.equal(0);
        expect(new Set(cuts().map(({ fields }) => fields?.["cause"]))).to.deep.equal(new Set(["unread"]));
    });
});
