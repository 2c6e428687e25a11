import type { WhereAnswer } from "@lentilramp/exchange";
import { expect } from "chai";
import { writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { where, type WhereOptions } from "../src/commands/where.ts";
import { CommandError, exitCodes } from "../src/exit-codes.ts";
import { Output } from "../src/output.ts";
import {
    exchange,
    type FleetProcesses,
    innerPort,
    PlatformStandIn,
    ports,
    startConfiguredFleet,
    until,
} from "./fleet-harness.ts";

const route = {
    timeout_ms: 2_000,
    target_latency_ms: 400,
    priority: 1,
    max_attempts: 2,
    public: false,
    host: "where.example",
};
const configuration = JSON.stringify({
    version: 1,
    routes: [
        { ...route, name: "safe", path_prefix: "/safe/", kind: "safe", service: "app" },
        { ...route, name: "prompts", path_prefix: "/prompts/", kind: "stream", service: "model" },
    ],
    services: [
        { name: "app", health_check_path: "/h", connection_limit: 200 },
        { name: "model", health_check_path: "/h", connection_limit: 200 },
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "w", api_keys: ["key"], priority: 0 }],
});

class RecordedOutput extends Output {
    value: unknown;
    lines: readonly string[] = [];

    constructor() {
        super(true);
    }

    override result(value: unknown, lines: readonly string[]): void {
        this.value = value;
        this.lines = lines;
    }
}

describe("lentilramp where", function() {
    this.timeout(90_000);
    const platform = new PlatformStandIn();
    let fleet: FleetProcesses;
    let ingress: string;

    before(async () => {
        const cloudAddress = await platform.start();
        fleet = await startConfiguredFleet(cloudAddress, { stewards: 1, ingresses: 1, configuration });
        ingress = `${fleet.ingresses[0]}:${innerPort}`;
    });

    after(async () => {
        await fleet.close();
        platform.close();
    });

    async function ask(options: WhereOptions, address = ingress): Promise<{ answer: WhereAnswer; text: string; }> {
        const output = new RecordedOutput();
        expect(await where(address, { key: fleet.keyFile, ...options }, output)).to.equal(exitCodes.ok);
        return { answer: output.value as WhereAnswer, text: output.lines.join("\n") };
    }

    async function errorOf(options: WhereOptions, address = ingress): Promise<[code: number, message: string]> {
        try {
            await ask(options, address);
            return [exitCodes.ok, ""];
        }
        catch (err) {
            return err instanceof CommandError ? [err.exitCode, err.message] : [NaN, String(err)];
        }
    }

    /** What the ingress serves of the counters that a request changes. */
    async function counters(): Promise<string[]> {
        const names =
            "requests|refusals|room_refusals|queue_yields|sends|limited_sends|limit_permits|first_byte|whole_answer";
        const { body } = await exchange(fleet.ingresses[0] ?? "", 9_464, "/metrics");
        return body.split("\n").filter(line => new RegExp(`^lentilramp_(${names})`).test(line));
    }

    // Guards against a command that sends, or counts, the request that it explains.
    it("names the endpoint of a request without sending it", async () => {
        const before = await counters();
        const { answer, text } = await ask({ route: "safe", workspace: "w", size: 100 });
        expect(answer).to.deep.include({ route: "safe", workspace: "w", rank: 0, catalogVersion: 1 });
        expect(answer.ingress).to.deep.include({ ready: true, stopping: false, cutOff: false });
        expect(answer.refusal).to.equal(undefined);
        const [only] = answer.cases;
        expect(only).to.deep.include({ service: "app", share: 1, choice: "i-app", decision: { kind: "send" } });
        expect(only?.endpoints.map(({ id, verdict }) => [id, verdict])).to.deep.equal([["i-app", "may-be-chosen"]]);
        expect(text).to.include("decision: send to i-app");
        const prompt = await ask({ route: "prompts", prefix: "p:900,own:90", promptTokens: 990, rank: 2 });
        expect(prompt.answer.cases[0]).to.deep.include({ service: "model", choice: "i-model" });
        expect((await ask({ route: "safe", size: 65_537 })).answer.refusal?.status).to.equal(413);
        expect(platform.runs).to.deep.equal([]);
        expect(await counters()).to.deep.equal(before);
        const headers = { host: "where.example", "x-attempt-id": "a", "api-key": "key", "x-deadline-ms": "2000" };
        const sent = await exchange(fleet.ingresses[0] ?? "", ports.front, "/safe/x", { headers });
        expect(sent.status).to.equal(200);
        expect(platform.runs).to.have.lengthOf(1);
        // The comparison sees the counters that a request changes.
        await until("the request was counted", async () => (await counters()).join() !== before.join());
    });

    it("reports names that the configuration does not contain, and wrong options, as wrong arguments", async () => {
        expect(await errorOf({ route: "none" })).to.deep.equal([
            exitCodes.usage,
            `${ingress}: unknown route none; configuration 1 has no such route`,
        ]);
        expect(await errorOf({ route: "safe", workspace: "none" })).to.deep.equal([
            exitCodes.usage,
            `${ingress}: unknown workspace none; configuration 1 has no such workspace`,
        ]);
        expect((await errorOf({ route: "safe", rank: "high" }))[0]).to.equal(exitCodes.usage);
        expect((await errorOf({ route: "safe" }, "somewhere"))[0]).to.equal(exitCodes.usage);
        expect((await errorOf({ route: "safe" }, `${ingress},${ingress}`))[0]).to.equal(exitCodes.usage);
    });

    it("needs the process key", async () => {
        const key = `${fleet.keyFile}-other`;
        writeFileSync(key, "another key than that of the fleet");
        expect((await errorOf({ route: "safe", key }))[0]).to.equal(exitCodes.unauthorized);
    });

    it("reports a process that does not know the method, or does not answer", async () => {
        const steward = `${fleet.stewards[0]}:${innerPort}`;
        const unknown = "does not know the method ingress.where: it is no ingress, or one of an earlier release";
        expect(await errorOf({ route: "safe" }, steward)).to.deep.equal([exitCodes.failed, `${steward} ${unknown}`]);
        // An ingress of the previous release serves no calls on its inner port.
        const previous = createServer((req, res) => {
            req.resume();
            res.writeHead(404, { "content-type": "application/json" }).end('{"error":{"type":"not_found"}}');
        });
        await new Promise<void>(resolve => previous.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(previous.address() as AddressInfo).port}`;
        expect(await errorOf({ route: "safe" }, address)).to.deep.equal([exitCodes.failed, `${address} ${unknown}`]);
        previous.close();
        previous.closeAllConnections();
        expect((await errorOf({ route: "safe" }, address))[0]).to.equal(exitCodes.failed);
    });
});
