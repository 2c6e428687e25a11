import { expect } from "chai";
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { exchange, FleetProcesses, ports, until } from "../fleet-harness.ts";
import { BuildUpgrade, builtProgram, everySecond, statedPace } from "./mixed-builds.ts";
import type { Fault } from "./schedule.ts";
import { catalog } from "./soak-catalog.ts";

describe("soak of two builds side by side", () => {
    let folder = "";

    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "lentilramp-builds-"));
    });

    afterEach(() => {
        rmSync(folder, { recursive: true, force: true });
    });

    // Guards against processes that fail to start, each with the same unclear error, because the checkout was not built.
    it("names the program and the command that builds it where a folder has none", () => {
        expect(() => builtProgram(folder)).to.throw(`${folder}/target/lentilramp.cjs does not exist; run "npm ci`);
    });

    // Guards against seeds that never play the other build as the majority of the stewards, or as the minority.
    it("starts the first or the second of two hosts from the other build", () => {
        expect(everySecond(["a", "b", "c"], 4)).to.deep.equal(["a", "c"]);
        expect(everySecond(["a", "b", "c"], 5)).to.deep.equal(["b"]);
    });

    // Guards against a seed that plays another load each time.
    it("states the same paces for the same seed and endpoint", () => {
        expect(statedPace(4, 2)()).to.equal(statedPace(4, 2)());
        expect(new Set(Array.from({ length: 40 }, (...[, i]) => statedPace(4, i)())).size).to.be.above(2);
    });

    // Guards against a soak that plays one build alone, which would pass each seed.
    it("starts every second process from the other build, and replaces it by the present one", async function() {
        this.timeout(60_000);
        const started = join(folder, "started");
        const program = join(folder, "other.cjs");
        const note = "/core-(.*)/.exec(require('node:fs').readFileSync(process.env.LENTILRAMP_BOOT, 'utf8'))[1]";
        writeFileSync(
            program,
            `require("node:fs").appendFileSync(${
                JSON.stringify(started)
            }, ${note} + "\\n"); setInterval(() => 0, 1e6);`,
        );
        const fleet = new FleetProcesses("127.0.0.1:9", 3, 0);
        try {
            const upgrade = new BuildUpgrade(fleet, program, 1);
            await fleet.start();
            const [first = "", second = ""] = fleet.stewards;
            await until("the other program has started", async () => existsSync(started));
            await until("a configuration was taken", async () => {
                const options = { method: "PUT", body: catalog(1) };
                return (await exchange(first, ports.control, "/lentilramp/configuration", options)).status === 200;
            });
            const done: Fault[] = [];
            await upgrade.run(Date.now(), 0, done);
            expect(readFileSync(started, "utf8")).to.equal(`${second}\n`);
            expect(done.map(({ kind, reason, role, target }) => ({ kind, reason, role, target }))).to.deep.equal([
                { kind: "stop", reason: "upgrade", role: "steward", target: 1 },
            ]);
            expect(fleet.unexpectedExits).to.deep.equal([]);
            const { status } = await exchange(second, ports.control, "/lentilramp/configuration");
            expect(status).to.equal(200);
        }
        finally {
            await fleet.close();
        }
    });
});
