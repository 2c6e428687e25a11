import { ManualClock, MemoryEventLog, type Timer } from "@lentilramp/runtime";
import { expect } from "chai";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import {
    ClientGuard,
    defaultClientLimits,
    defaultHttpServerOptions,
    HttpServer,
    UnreadAnswerRule,
} from "../src/index.ts";
import { unacknowledgedBytes, untakenBytes } from "../src/socket-queues.ts";

const { unreadAnswerMs } = defaultClientLimits;
const slowestBytesPerMs = 5;
/**
 * Bytes that a caller reads before the system tells of it: the whole of a receive buffer of the default size of Linux, and
 * a 16th of one of 6 MiB, the largest for which the time is made. Buffers grow while their callers read fast.
 */
const stepSizes = [131_072, 6_291_456 / 16];
const largestStepBytes = Math.max(...stepSizes);
const largestStepMs = largestStepBytes / slowestBytesPerMs;
/** Interval of the looks of `UnreadAnswers`, in milliseconds. */
const lookMs = 500;

/** When a caller reads: each `stepMs` from `firstMs` on, and not after `stopMs`. */
interface Steps {
    stepMs: number;
    firstMs: number;
    stopMs?: number;
}

/** Looks at a connection for half an hour; returns when it was closed. */
function closedAt({ stepMs, firstMs, stopMs = Infinity }: Steps): number | undefined {
    const rule = new UnreadAnswerRule(0, unreadAnswerMs);
    for (let now = 0; now <= 1_800_000; now += lookMs) {
        const steps = Math.max(0, Math.floor((Math.min(now, stopMs) - firstMs) / stepMs) + 1);
        const readBytes = steps * stepMs * slowestBytesPerMs;
        // The system takes bytes from the process once a third of its largest send buffer is free.
        const takenBytes = Math.floor(readBytes / 1_400_000);
        const asks = rule.look({ unreadBytes: 9, takenBytes, deadline: () => -Infinity }, now);
        if (asks && rule.recordUnacknowledged(1e9 - readBytes, now)) {
            return now;
        }
    }
    return undefined;
}

describe("UnreadAnswerRule with the time of servers without deadlines", () => {
    for (const stepBytes of stepSizes) {
        const stepMs = stepBytes / slowestBytesPerMs;
        const starts = Array.from({ length: Math.floor(stepMs / lookMs) }, (...[, i]) => i * lookMs + 1);

        // Guards against ready answers that are lost to a caller of which the system tells in large steps.
        it(`leaves a connection open whose caller reads 5 KB a second, in steps of ${stepBytes} bytes`, () => {
            for (const firstMs of starts) {
                expect(closedAt({ stepMs, firstMs }), `first step at ${firstMs} ms`).to.equal(undefined);
            }
        });

        // Guards against a longer time that keeps connections whose callers have stopped.
        it(`closes it within twice the time after the last step of ${stepBytes} bytes`, () => {
            for (const firstMs of starts) {
                const stopMs = firstMs + 4 * stepMs;
                const at = closedAt({ stepMs, firstMs, stopMs }) ?? Infinity;
                expect(at - stopMs).to.be.within(unreadAnswerMs - stepMs, 2 * unreadAnswerMs + 2 * lookMs);
            }
        });
    }

    it("closes one whose caller reads nothing after the time", () => {
        expect(closedAt({ stepMs: largestStepMs, firstMs: Infinity })).to.equal(unreadAnswerMs);
    });
});

/**
 * More than the system holds for a caller that does not read: the largest send buffer (4 MiB), and a receive buffer that
 * does not grow.
 */
const answerBytes = 20_000_000;
/** Enough that looks at any offset from the steps see a time that is shorter than a step. */
const steps = 12;
const host = "127.0.0.1";
const turn = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 1));

/** Counts the timers, so that a test can wait until a look at the connections has ended. */
class CountingClock extends ManualClock {
    pending = 0;

    override schedule(timeMs: number, callback: () => void): Timer {
        this.pending++;
        let isDone = false;
        const end = (): void => {
            this.pending -= isDone ? 0 : 1;
            isDone = true;
        };
        const timer = super.schedule(timeMs, () => {
            end();
            callback();
        });
        return {
            cancel: () => {
                end();
                timer.cancel();
            },
        };
    }
}

describe("HttpServer with a caller that reads slowly", () => {
    let clock: CountingClock;
    let log: MemoryEventLog;
    let server: HttpServer;
    let caller: Socket;
    let serverSide: Socket | undefined;

    beforeEach(async () => {
        clock = new CountingClock(1_000_000);
        log = new MemoryEventLog();
        const options = { ...defaultHttpServerOptions, host, port: 0, unreadAnswerMs };
        server = new HttpServer(options, log, new ClientGuard({ clock, log }));
        server.route("GET", "/large", async (req, res) => {
            serverSide = req.socket;
            req.resume();
            res.writeHead(200, { "content-length": answerBytes, connection: "close" });
            res.end(Buffer.alloc(answerBytes, "x"));
        });
        await server.start();
        caller = connect(server.address);
        caller.on("error", () => undefined);
        caller.pause();
        caller.write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
        await untilSteady();
    });

    afterEach(async () => {
        caller.destroy();
        await server.close();
    });

    /** Returns the bytes of answers that the system has taken from the process. */
    const taken = (): number => serverSide === undefined ? 0 : serverSide.bytesWritten - untakenBytes(serverSide);
    const unacknowledged = async (): Promise<number | undefined> =>
        serverSide === undefined ? undefined : (await unacknowledgedBytes([serverSide])).get(serverSide);
    /** Resolves once the system has passed on all that the caller's receive buffer takes. */
    const untilSteady = async (): Promise<void> => {
        for (let [before, count] = [-1 as number | undefined, 0]; count < 4;) {
            await new Promise(resolve => setTimeout(resolve, 5));
            const now = await unacknowledged();
            count = serverSide !== undefined && now === before ? count + 1 : 0;
            before = now;
        }
    };
    /**
     * Resolves with the bytes that the caller's system has acknowledged. The unacknowledged bytes alone may return to an
     * earlier number, since the system takes further bytes from the process.
     */
    const acknowledged = async (): Promise<number> => {
        for (;;) {
            const before = taken();
            const queued = await unacknowledged();
            expect(queued, "unacknowledged bytes").not.to.equal(undefined);
            if (taken() === before) {
                return before - (queued ?? 0);
            }
        }
    };
    /**
     * Reads a step; resolves once the system has acknowledged bytes since its beginning. That may take some time, which is
     * the system's: it sends into a small window only with its probes, which are 0.2 s or more apart. A test that goes on
     * earlier sees no progress for two steps.
     */
    const readStep = async (): Promise<void> => {
        const before = await acknowledged();
        for (let bytes = 0; bytes < largestStepBytes;) {
            const length = Math.min(caller.readableLength, largestStepBytes - bytes);
            bytes += (caller.read(length) as Buffer | null)?.length ?? 0;
            await turn();
        }
        while (await acknowledged() === before) {
            await turn();
        }
    };
    /** Lets time pass while the connection is open, and each look end before the next. */
    const pass = async (ms: number): Promise<void> => {
        for (const until = clock.now() + ms; clock.now() < until && server.traffic.connections > 0;) {
            const { pending } = clock;
            clock.advanceTo(Math.min(until, clock.now() + lookMs));
            while (clock.pending < pending && server.traffic.connections > 0) {
                await turn();
            }
        }
    };

    // Guards against an answer that is cut although its caller goes on reading: it takes a part at once,
    // and then nothing for as long as a caller that reads 5 KB a second may seem to take nothing.
    it("sends the whole answer to one that reads 5 KB a second in the largest steps", async function() {
        if (process.platform !== "linux") {
            // Only Linux tells what the caller has not acknowledged.
            this.skip();
        }
        for (let i = 0; i < steps; i++) {
            await pass(largestStepMs);
            expect(server.traffic.connections, `connections after step ${i}`).to.equal(1);
            await readStep();
        }
        let received = steps * largestStepBytes;
        expect(received).to.be.below(answerBytes / 2);
        const ended = once(caller, "end");
        caller.on("data", (part: Buffer) => received += part.length);
        caller.resume();
        await ended;
        expect(received).to.be.above(answerBytes);
        expect(log.events.map(({ name }) => name)).not.to.include("http.answer-unread");
    });

    // Guards against connections that stay for as long as a caller that has stopped.
    it("closes the connection of one that does not read, within twice the time", async () => {
        await pass(unreadAnswerMs - lookMs);
        expect(server.traffic.connections).to.equal(1);
        await pass(unreadAnswerMs + 3 * lookMs);
        expect(server.traffic.connections).to.equal(0);
        expect(log.events.map(({ name }) => name)).to.include("http.answer-unread");
    });
});
