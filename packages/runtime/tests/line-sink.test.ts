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
});
