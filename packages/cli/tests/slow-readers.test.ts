import { unreadAnswerTimeoutMs } from "@lentilramp/protocol";
import { controlSettingsSchema, entrySettingsSchema } from "@lentilramp/settings";
import { expect } from "chai";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { wireProcess } from "../src/wire.ts";
import { type FleetProcesses, innerPort, PlatformStandIn, ports, startConfiguredFleet } from "./fleet-harness.ts";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

// Guards against a setting that does not reach the server.
describe("time without progress of an entry and a control process", () => {
    const folder = mkdtempSync(join(tmpdir(), "lentilramp-slow-"));
    const listen = { host: "127.0.0.1", port: 0 };
    const common = { name: "p", region: "r", failureDomain: "a", listen, keyFile: join(folder, "key") };
    const member = { ...listen, name: "p", failureDomain: "a" };

    before(() => writeFileSync(join(folder, "key"), "a key of this test alone"));

    after(() => rmSync(folder, { recursive: true, force: true }));

    for (const [clients, expected] of [[{}, 85_000], [{ unreadAnswerMs: 12_345 }, 12_345]] as const) {
        it(`is ${expected} ms with the settings ${JSON.stringify(clients)}`, () => {
            const entry = entrySettingsSchema.parse({ ...common, role: "entry", clients, control: [member] });
            const control = controlSettingsSchema.parse({
                ...common,
                role: "control",
                clients,
                members: [member],
                dataFolder: join(folder, "data"),
            });
            for (const settings of [entry, control]) {
                const { http } = wireProcess(settings) as unknown as {
                    http: { options: { unreadAnswerMs: number; }; };
                };
                expect(http.options.unreadAnswerMs).to.equal(expected);
            }
        });
    }
});

/** Requests without a route, whose answers repeat their paths; more than the system holds for one connection. */
const requests = 600;
const request = `GET /${"x".repeat(14_000)} HTTP/1.1\r\nHost: h\r\n\r\n`;

/** Sends the requests, reads nothing for a time, and then reads; resolves with the number of answers. */
async function countAnswers(host: string, port: number, pauseMs: number): Promise<number> {
    const socket: Socket = connect(port, host);
    socket.pause();
    let answers = 0;
    let text = "";
    const ended = new Promise<void>(resolve => {
        socket.on("error", () => resolve());
        socket.once("close", () => resolve());
        socket.setEncoding("latin1").on("data", (part: string) => {
            const parts = (text + part).split("HTTP/1.1 404 ");
            answers += parts.length - 1;
            // The rest may end within the next status line.
            text = (parts.at(-1) ?? "").slice(-12);
            if (answers === requests) {
                resolve();
            }
        });
    });
    socket.pause();
    socket.write(request.repeat(requests));
    await sleep(pauseMs);
    socket.resume();
    await ended;
    socket.destroy();
    return answers;
}

describe("servers of a fleet with callers that read in steps", function() {
    this.timeout(120_000);
    const platform = new PlatformStandIn();
    let fleet: FleetProcesses | undefined;

    before(async () => {
        fleet = await startConfiguredFleet(await platform.start(), {
            stewards: 1,
            ingresses: 1,
            configuration: JSON.stringify({ version: 1, routes: [], services: [], limits: {}, tenants: [] }),
        });
    });

    after(async () => {
        await fleet?.close();
        await platform.close();
    });

    // Guards against answers that are lost to a caller of which the system tells nothing for longer than 6 s, as of one
    // that reads 10 KB a second.
    it("send all answers after a time in which the caller seems to read nothing", async () => {
        const [steward = ""] = fleet?.stewards ?? [];
        const [ingress = ""] = fleet?.ingresses ?? [];
        const addresses: (readonly [string, number])[] = [
            [steward, ports.control],
            [steward, ports.directory],
            [steward, innerPort],
            [ingress, innerPort],
        ];
        const counts = await Promise.all(
            addresses.map(([host, port]) => countAnswers(host, port, 2 * unreadAnswerTimeoutMs)),
        );
        expect(counts).to.deep.equal(addresses.map(() => requests));
    });
});
