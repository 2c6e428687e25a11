import { MemoryEventLog } from "@lentilramp/runtime";
import { expect } from "chai";
import { spawn } from "node:child_process";
import { EventEmitter, once } from "node:events";
import { stopAtFatalError } from "../src/fatal-errors.ts";

describe("stopAtFatalError", () => {
    it("stops once, and logs each error", () => {
        const events = new EventEmitter();
        const log = new MemoryEventLog();
        let stops = 0;
        stopAtFatalError(events, () => stops++, log);
        events.emit("uncaughtException", new Error("first"));
        events.emit("uncaughtException", "second");
        expect(stops).to.equal(1);
        expect(log.events.map(({ name }) => name)).to.deep.equal(["process.fatal-error", "process.fatal-error"]);
        expect(String(log.events[0]?.fields.error)).to.match(/^Error: first\n/);
    });

    // Guards against one unexpected error that closes the connections of all requests in progress at once.
    for (const [what, action] of [["an exception", "throw e"], ["a rejection", "Promise.reject(e)"]] as const) {
        it(`lets a process that meets ${what} in a timer finish its work`, async () => {
            const script = `
                import { stopAtFatalError } from "./packages/cli/src/fatal-errors.ts";
                const work = setTimeout(() => console.log("finished"), 300);
                const log = { error: () => console.log("logged") };
                stopAtFatalError(process, () => setTimeout(() => process.exit(3), 600), log);
                setTimeout(() => { const e = new Error("unexpected"); ${action}; }, 50);
            `;
            const child = spawn(process.execPath, ["--import=tsx", "--input-type=module", "--eval", script], {
                stdio: ["ignore", "pipe", "ignore"],
            });
            let output = "";
            child.stdout.on("data", (part: Buffer) => output += part.toString());
            const [code] = await once(child, "close") as [number];
            expect({ code, output }).to.deep.equal({ code: 3, output: "logged\nfinished\n" });
        });
    }
});
