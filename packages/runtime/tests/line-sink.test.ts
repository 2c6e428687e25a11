import { LineSink, ManualClock, MemoryEventLog, ThrottledEventLog } from "@lentilramp/runtime";
import { expect } from "chai";

describe("LineSink", () => {
    // Guards against a reader that stops and thereby blocks the process: Node.js writes to pipes synchronously.
    it("does not block while the reader is stopped, and limits the buffer and reports dropped lines", async () => {
        const written: string[] = [];
        let finishWrite: () => void = () => undefined;
        const sink = new LineSink(text => {
            written.push(text);
            return new Promise(resolve => finishWrite = resolve);
        });
        const line = `${"x".repeat(999)}\n`;
        for (let i = 0; i < 1_000; i++) {
            sink.write(line);
        }
        expect(sink.droppedLines).to.be.above(700);
        for (let i = 0; i < 4; i++) {
            await new Promise(resolve => setImmediate(resolve));
            finishWrite();
        }
        expect(written.join("")).to.match(/event=log\.dropped lines=7\d\d/);
    });

    // Guards against the loss of the last lines of a process, which say what it cut: it ended while they were held back.
    it("tells when all lines have been written, also those that came during a write", async () => {
        const written: string[] = [];
        const sink = new LineSink(async text => {
            await new Promise(resolve => setTimeout(resolve, 5));
            written.push(text);
        });
        sink.write("first\n");
        await new Promise(resolve => setImmediate(resolve));
        sink.write("second\n");
        await sink.flushed();
        expect(written.join("")).to.equal("first\nsecond\n");
        await sink.flushed();
    });
});

describe("ThrottledEventLog", () => {
    it("limits the lines of each event separately and reports the number dropped", () => {
        const clock = new ManualClock(0);
        const inner = new MemoryEventLog();
        const log = new ThrottledEventLog(inner, clock, 3);
        for (let i = 0; i < 10; i++) {
            log.info("request.refused", { id: i });
        }
        log.info("endpoint.ejected");
        expect(inner.events).to.have.length(4);
        clock.advanceTo(1_000);
        log.info("endpoint.ejected");
        expect(inner.events[4]?.fields).to.deep.equal({ of: "request.refused", lines: 7 });
    });

    // Guards against a request that is lost without a line: more were cut at one instant than an event has lines a second.
    it("gives an event the limit of its own, and reports what it left out when the process ends", () => {
        const inner = new MemoryEventLog();
        const log = new ThrottledEventLog(inner, new ManualClock(0), 2, { "caller.cut": 5 });
        for (let i = 0; i < 6; i++) {
            log.info("caller.cut", { id: i });
            log.info("other");
        }
        log.reportDroppedLines();
        const countOf = (event: string): number => inner.events.filter(({ name }) => name === event).length;
        expect([countOf("caller.cut"), countOf("other")]).to.deep.equal([5, 2]);
        expect(inner.events.filter(({ name }) => name === "log.left-out").map(({ fields }) => fields)).to.deep.equal([
            { of: "caller.cut", lines: 1 },
            { of: "other", lines: 4 },
        ]);
    });
});
