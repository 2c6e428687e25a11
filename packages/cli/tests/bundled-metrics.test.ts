import { expect } from "chai";
import { exchange, FleetProcesses, PlatformStandIn, until } from "./fleet-harness.ts";

const metricsPort = 9_464;

describe("metrics of a process that runs the bundle of the fleet", function() {
    this.timeout(60_000);
    const platform = new PlatformStandIn();
    let fleet: FleetProcesses;

    before(async () => {
        fleet = new FleetProcesses(await platform.start(), 1, 1);
        await fleet.start();
    });

    after(async () => {
        await fleet.close();
        platform.close();
    });

    // The bundle leaves out parts of the library that renders the metrics.
    it("are rendered", async () => {
        for (const [hosts, name] of [[fleet.stewards, "leads"], [fleet.ingresses, "in_progress"]] as const) {
            const [host = ""] = hosts;
            await until(
                "the metrics are served",
                async () => (await exchange(host, metricsPort, "/metrics")).status === 200,
            );
            expect((await exchange(host, metricsPort, "/metrics")).body).to.match(
                new RegExp(`^lentilramp_${name} \\d`, "m"),
            );
        }
    });
});
