import { ProcessKey, RpcClient } from "@lentilramp/protocol";
import { SystemClock } from "@lentilramp/runtime";
import { promptPartsAnswerSchema } from "@lentilramp/steward";
import { expect } from "chai";
import type { IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { CrashingEndpoint } from "./crashing-endpoint.ts";
import {
    exchange,
    type FleetProcesses,
    innerPort,
    PlatformStandIn,
    ports,
    startConfiguredFleet,
    until,
} from "./fleet-harness.ts";

const deadlyPart = "deadf00d";

const configuration = JSON.stringify({
    version: 1,
    routes: [{
        name: "chat",
        host: "chat.example",
        path_prefix: "/chat/",
        kind: "streaming",
        timeout_ms: 2_000,
        target_latency_ms: 500,
        priority: 0,
        service: "model",
        max_attempts: 2,
        public: false,
        resumable: true,
    }],
    services: [{
        name: "model",
        health_check_path: "/h",
        connection_limit: 200,
        engine: { slots: 8, kv_cache_tokens: 100_000 },
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "w", api_keys: ["key"], priority: 0 }],
});

describe("A prompt part that crashes engines", function() {
    this.timeout(90_000);
    const isDeadly = (req: IncomingMessage): boolean => String(req.headers["x-prompt-prefix"]).includes(deadlyPart);
    const answer = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const engines = Array.from(
        { length: 10 },
        (...[, i]) => new CrashingEndpoint(`i-${i}`, "model", isDeadly, answer),
    );
    const countCrashes = (): number => engines.reduce((sum, { crashes }) => sum + crashes, 0);
    const platform = new PlatformStandIn(() => engines.map(({ entry }) => entry));
    let fleet: FleetProcesses;
    let sent = 0;

    async function call(host: string, part: string): Promise<number> {
        const id = `c${sent++}`;
        const headers = {
            host: "chat.example",
            "x-attempt-id": id,
            "api-key": "key",
            "x-deadline-ms": "2000",
            "x-token-usage": "300,20",
            "x-prompt-prefix": `5ade:100,${part}:100,${id}:100`,
        };
        const path = `/chat/${id}`;
        return await exchange(host, ports.front, path, { method: "POST", headers, body: "{}" })
            .then(({ status }) => status, () => 0);
    }

    before(async () => {
        await Promise.all(engines.map(engine => engine.start()));
        fleet = await startConfiguredFleet(await platform.start(), { stewards: 3, ingresses: 3, configuration });
    });

    after(async () => {
        await fleet.close();
        platform.close();
        engines.forEach(engine => engine.close());
    });

    // Guards against requests of one kind that crash one engine after the other, at whichever ingress they arrive.
    it("is refused at every ingress and at a restarted one, while sound requests beside it are served", async () => {
        let sound = 0;
        let served = 0;
        await until("every ingress refuses the part", async () => {
            const [status] = await Promise.all(fleet.ingresses.map(host => call(host, deadlyPart)));
            const soundStatus = await call(fleet.ingresses[0] ?? "", "50f7");
            sound++;
            served += soundStatus === 200 ? 1 : 0;
            await sleep(150);
            return status === 503 && countCrashes() >= 4;
        });
        await sleep(1_500);
        const before = countCrashes();
        for (const host of fleet.ingresses) {
            for (let i = 0; i < 5; i++) {
                expect(await call(host, deadlyPart)).to.equal(503);
                expect(await call(host, "50f7")).to.equal(200);
            }
        }
        const [restarted = ""] = fleet.ingresses;
        await fleet.end(restarted, "SIGKILL");
        fleet.run(restarted);
        await until("the restarted ingress serves", async () => await call(restarted, "50f7") === 200);
        expect(await call(restarted, deadlyPart)).to.equal(503);
        expect(countCrashes()).to.equal(before);
        expect(served / sound).to.be.above(0.5);
    });

    it("is shown to operators with its evidence, and served again after they lift the verdict", async () => {
        const client = new RpcClient(ProcessKey.read(fleet.keyFile), new SystemClock());
        const ask = async (method: string, params: object) => {
            for (const host of fleet.stewards) {
                const peer = { host, port: innerPort };
                const answer = await client.call(peer, method, params, promptPartsAnswerSchema, Date.now() + 2_000);
                if (answer.leading) {
                    return answer;
                }
            }
            throw new Error("no steward leads");
        };
        const { blocked } = await ask("prompt-parts.list", {});
        expect(blocked.map(({ part }) => part)).to.deep.equal([deadlyPart]);
        expect(blocked[0]?.endpoints.length).to.be.at.least(4);
        expect(await ask("prompt-parts.lift", { part: deadlyPart })).to.include({ lifted: true });
        expect(await ask("prompt-parts.lift", { part: deadlyPart })).to.include({ lifted: false });
        const before = countCrashes();
        await until("the part is sent again", async () => {
            await call(fleet.ingresses[1] ?? "", deadlyPart);
            return countCrashes() > before;
        });
        await client.close();
    });
});
