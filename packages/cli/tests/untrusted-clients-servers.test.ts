import { clientSettingsSchema } from "@lentilramp/settings";
import { PlainService } from "@lentilramp/stand-ins";
import { request } from "node:http";
import { exchange, innerPort } from "./fleet-harness.ts";
import { ProcessGroup } from "./process-group.ts";
import { host as groupHost } from "./test-group.ts";
import { describeFleetUnderLoad, type FleetTarget } from "./untrusted-clients-fleet.ts";
import {
    descriptors,
    expectSurvival,
    loads,
    memoryMb,
    nodeOptions,
    type UntrustedClients,
} from "./untrusted-clients-load.ts";

const key = { authorization: "Bearer a key of this test alone" };
const withoutKey = "Host: h\r\n";
const metricsPort = 9_464;
const feedPath = "/exchange?scope=own&name=test";

/** Resolves with the status of an answer that does not end, once its head has come. */
async function askFeed(host: string): Promise<number> {
    return await new Promise((resolve, reject) => {
        const options = { host, port: innerPort, path: feedPath, headers: key, agent: false, timeout: 4_000 };
        const req = request(options, res => {
            resolve(res.statusCode ?? 0);
            res.destroy();
        });
        req.on("timeout", () => req.destroy(new Error("no answer")));
        req.on("error", reject);
        req.end();
    });
}

async function askMetrics(host: string): Promise<number> {
    return (await exchange(host, metricsPort, "/metrics")).status;
}

async function callMethod(host: string): Promise<number> {
    const body = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "prompt-parts.list", params: {} });
    return (await exchange(host, innerPort, "/rpc", { method: "POST", headers: key, body })).status;
}

const targets: readonly FleetTarget[] = [
    {
        name: "inner address of an ingress",
        role: "ingress",
        port: innerPort,
        method: "GET",
        path: feedPath,
        headers: withoutKey,
        ask: askFeed,
    },
    {
        name: "inner address of a steward",
        role: "steward",
        port: innerPort,
        method: "POST",
        path: "/rpc",
        headers: withoutKey,
        ask: callMethod,
    },
    {
        name: "metrics address of an ingress",
        role: "ingress",
        port: metricsPort,
        method: "POST",
        path: "/metrics",
        headers: withoutKey,
        ask: askMetrics,
    },
    {
        name: "metrics address of a steward",
        role: "steward",
        port: metricsPort,
        method: "POST",
        path: "/metrics",
        headers: withoutKey,
        ask: askMetrics,
    },
];

// Guards against clients without the process key that end a process, or lock other processes and scrapers out, at the
// servers that are not meant for callers.
describeFleetUnderLoad(
    "untrusted clients at the inner and metrics servers",
    JSON.stringify({ version: 1, routes: [], services: [], limits: {}, tenants: [] }),
    targets,
);

// Guards against clients that end a process whose server is shared by callers and other processes.
describe("untrusted clients at an entry and a control process", function() {
    this.timeout(120_000);
    const service = new PlainService({ latencyMs: 1 });
    const path = "/v1/services/hire-app/quote";
    let endpoint: { host: string; port: number; };
    let group: ProcessGroup;
    let clients: UntrustedClients | undefined;

    before(async () => {
        endpoint = await service.start();
    });

    beforeEach(async () => {
        group = new ProcessGroup(clientSettingsSchema.parse({ memoryMb, descriptors }), nodeOptions);
        await group.build();
        await Promise.all([0, 1, 2].map(i => group.startControl(i)));
        await group.startEntry(0);
        const configuration = group.configuration(0.1, {
            endpoints: [{ id: "s", kind: "service", ...endpoint, failureDomain: "a", machineClass: "m" }].map(item => ({
                ...item,
                services: ["hire-app"],
            })) as never,
            services: [{
                name: "hire-app",
                operations: [{ name: "quote", idempotent: true, latencyPromiseMs: 900 }],
            }] as never,
            workspaces: [{ id: "hire-desk", share: 1, weights: { high: 4, normal: 2, low: 1 } }] as never,
        });
        await group.propose("first", 0, configuration);
    });

    afterEach(async () => {
        clients?.close();
        await group.close();
    });

    after(() => service.close());

    const askEntry = async (port: number): Promise<number> => {
        const headers = { "x-workspace": "hire-desk" };
        const body = JSON.stringify({ text: "x".repeat(50_000) });
        return (await exchange(groupHost, port, path, { method: "POST", headers, body })).status;
    };
    const callStatus = async (name: string): Promise<number> =>
        Object.keys(await group.status(name)).length > 0 ? 200 : 0;

    for (const load of loads) {
        it(`at the address of an entry: ${load.name}`, async () => {
            const port = group.portOf("entry-1");
            // Callers of the entry and calls between processes come to the same server.
            const ask = async (): Promise<number> => await callStatus("entry-1") === 200 ? await askEntry(port) : 0;
            await expectSurvival(
                { pid: () => group.pid("entry-1"), exits: () => group.unexpectedExits, ask },
                opened => clients = opened,
                {
                    host: groupHost,
                    port,
                    method: "POST",
                    path,
                    pipelinedPath: "/v1/addresses",
                    headers: "Host: h\r\nX-Workspace: hire-desk\r\n",
                },
                load,
            );
        });

        it(`at the address of a control process: ${load.name}`, async () => {
            const { name, port } = group.members[0] ?? { name: "", port: 0 };
            await expectSurvival(
                { pid: () => group.pid(name), exits: () => group.unexpectedExits, ask: () => callStatus(name) },
                opened => clients = opened,
                { host: groupHost, port, method: "POST", path: "/rpc", headers: withoutKey },
                load,
            );
        });
    }
});
