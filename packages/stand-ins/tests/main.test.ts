import { requestJson } from "@lentilramp/stand-ins";
import { expect } from "chai";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

describe("the executable of the stand-ins", () => {
    // Guards against a ready line that comes before the port is open, or names another port.
    it("prints one ready line and ends on a signal", async () => {
        const main = fileURLToPath(new URL("../src/main.ts", import.meta.url));
        const child = spawn(process.execPath, ["--import", "tsx", main, "engine", '{"stepMs":1}'], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        const [line] = await once(createInterface(child.stdout), "line") as [string];
        const { ready, host, port } = JSON.parse(line) as { ready: boolean; host: string; port: number; };
        expect(ready).to.equal(true);
        expect((await requestJson({ host, port }, "GET", "/v1/load")).status).to.equal(200);
        child.kill("SIGTERM");
        const [status] = await once(child, "exit") as [number];
        expect(status).to.equal(0);
    });
});
