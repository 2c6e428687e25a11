import { type FleetProcesses, PlatformStandIn, startConfiguredFleet } from "./fleet-harness.ts";
import {
    boundedFleet,
    expectSurvival,
    loads,
    type LoadTarget,
    type UntrustedClients,
} from "./untrusted-clients-load.ts";

/** A server of the product, with the ordinary request that it has to answer afterwards. */
export interface FleetTarget extends LoadTarget {
    name: string;
    role: "ingress" | "steward";
    /** Resolves with the status of the answer to an ordinary request. */
    ask: (host: string) => Promise<number>;
}

/** Declares a test for each server and kind of load, in which a fleet of one steward and one ingress has to survive it. */
export function describeFleetUnderLoad(title: string, configuration: string, targets: readonly FleetTarget[]): void {
    describe(title, function() {
        this.timeout(120_000);
        const platform = new PlatformStandIn();
        let cloudAddress: string;
        let fleet: FleetProcesses | undefined;
        let clients: UntrustedClients | undefined;

        before(async () => {
            cloudAddress = await platform.start();
        });

        beforeEach(async () => {
            fleet = await startConfiguredFleet(cloudAddress, {
                stewards: 1,
                ingresses: 1,
                configuration,
                limits: boundedFleet,
            });
        });

        afterEach(async () => {
            clients?.close();
            await fleet?.close();
        });

        after(() => platform.close());

        for (const target of targets) {
            for (const load of loads) {
                it(`at the ${target.name}: ${load.name}`, async () => {
                    const host = (target.role === "ingress" ? fleet?.ingresses : fleet?.stewards)?.[0] ?? "";
                    await expectSurvival(
                        {
                            pid: () => fleet?.pid(host),
                            exits: () => fleet?.unexpectedExits,
                            ask: () => target.ask(host),
                        },
                        opened => clients = opened,
                        { ...target, host },
                        load,
                    );
                });
            }
        }
    });
}
