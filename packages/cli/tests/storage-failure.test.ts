import { expect } from "chai";
import { rmSync } from "node:fs";
import { join } from "node:path";
import { exchange, FleetProcesses, PlatformStandIn, ports, until } from "./fleet-harness.ts";

describe("a steward whose storage has failed", function() {
    this.timeout(90_000);
    const platform = new PlatformStandIn();
    let fleet: FleetProcesses;

    before(async () => {
        fleet = new FleetProcesses(await platform.start(), 1, 0);
        await fleet.start();
    });

    after(async () => {
        await fleet.close();
        platform.close();
    });

    // Guards against a process that runs on without taking part, so that nothing starts it again.
    it("ends with an error, so that the platform starts it again", async () => {
        const [host = ""] = fleet.stewards;
        let version = 0;
        const put = async (padding: number): Promise<boolean> => {
            const document = { version: ++version, routes: [], services: [], limits: {}, tenants: [] };
            const body = JSON.stringify(document).padEnd(padding);
            const answer = await exchange(host, ports.control, "/lentilramp/configuration", { method: "PUT", body });
            return answer.status === 200;
        };
        await until("a configuration was taken", () => put(0));
        // The next segment of the journal cannot be created without its folder.
        rmSync(join(fleet.dataFolder(host), "agreement"), { recursive: true });
        await until("the process has ended", async () => {
            await put(3_000_000).catch(() => false);
            return !fleet.runs(host);
        });
        expect(fleet.unexpectedExits.map(({ host: ended, code }) => [ended, code])).to.deep.equal([[host, 1]]);
    });
});
