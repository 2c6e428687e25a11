import { LineSink, ManualClock, MemoryEventLog, ThrottledEventLog } from "@lentilramp/runtime";
import { expect } from "chai";

describe("LineSink", () => {
    // A reader that stopped used to be able to stop the process: Node.js writes to pipes synchronously.
    it("returns at once while nobody reads, bounds what waits, and says how many lines were dropped", async () => {
        const written: string[] = [];
        let release: () => void = () => undefined;
        const sink = new LineSink(text => {
            written.push(text);
            return new Promise(resolve => release = resolve);
        });
        const line = `${"x".repeat(999)}\n`;
        for (let i = 0; i < 1_000; i++) {
            sink.write(line);
        }
        expect(sink.droppedLines).to.be.above(700);
        for (let i = 0; i < 4; i++) {
            await new Promise(resolve => setImmediate(resolve));
            release();
        }
        expect(written.join("")).to.match(/event=log\.dropped lines=7\d\d/);
    });
});

describe("ThrottledEventLog", () => {
    it("bounds the lines of each event by itself and reports those left out", () => {
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
