import { rolloutDefaults, type RolloutNotice } from "@lentilramp/rollouts";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, IngressHarness, ScriptedEndpoint, sealed } from "./ingress-harness.ts";
import { notice } from "./version-notice.ts";

describe("Relay with a running roll-out", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let ingress: IngressHarness;
    const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];

    async function start(execution: "stream" | "idempotent", ...answers: [string, Answer][]): Promise<void> {
        endpoints = answers.map(([version, answer], i) => new ScriptedEndpoint(`e${i}`, answer, version));
        await Promise.all(endpoints.map(scripted => scripted.start()));
        const route = testRoute({ execution, resumable: execution === "stream", timeoutMs: 4_000, maxAttempts: 3 });
        ingress = await IngressHarness.start(testCatalog({ routes: [route] }), endpoints, {}, {
            retryReserve: 1_000,
            rollouts: rolloutDefaults,
        });
    }

    function tell(overrides: Partial<RolloutNotice>, revision = 1): void {
        const validMs = 60_000;
        const rollouts = { revision, partial: false, services: { app: notice({ validMs, ...overrides }) } };
        ingress.versions?.apply({ rollouts, leading: true }, ingress.clock.now());
    }

    const counts = (): number[] => endpoints.map(({ requests }) => requests.length);

    afterEach(async () => {
        await ingress.close();
        endpoints.forEach(scripted => scripted.close());
    });

    async function callTimes(count: number): Promise<number[]> {
        const statuses: number[] = [];
        for (let i = 0; i < count; i++) {
            statuses.push((await ingress.call({ method: "POST", body: "x" })).status);
        }
        return statuses;
    }

    it("sends nothing to the target before the leader has given a share, and reports what it sees", async () => {
        await start("idempotent", ["v1", sealed(200, "old")], ["v2", sealed(200, "new")]);
        tell({});
        expect(new Set(await callTimes(12))).to.have.keys(200);
        expect(counts()).to.deep.equal([12, 0]);
        expect(ingress.versions?.reports()?.app).to.include({ arrived: 12, exposed: 0 });
        tell({ share: 1 });
        await callTimes(5);
        expect(counts()).to.deep.equal([12, 5]);
        const report = ingress.versions?.reports()?.app;
        expect(report).to.include({ arrived: 17, exposed: 5 });
        expect(report?.results).to.have.keys("v1", "v2");
        tell({ state: "rolled_back", barred: ["v2"] }, 2);
        await callTimes(5);
        expect(counts()).to.deep.equal([17, 5]);
        expect(ingress.versions?.reports()).to.equal(undefined);
    });

    // Guards against an exposure budget that grows with requests that this ingress refuses.
    it("counts as arrived what an endpoint may have run, once, and nothing that was refused", async () => {
        const refusing: Answer = (req, res) => {
            res.writeHead(503, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-not-executed": "1" });
            res.end();
        };
        await start("idempotent", ["v1", refusing]);
        tell({});
        expect(new Set(await callTimes(3))).not.to.include(200);
        expect(ingress.versions?.reports()?.app).to.include({ asked: 3, arrived: 0, exposed: 0 });
        await ingress.close();
        endpoints.forEach(scripted => scripted.close());
        await start("idempotent", ["v2", sealed(200, "new")]);
        tell({});
        expect(new Set(await callTimes(3))).to.have.keys(503);
        expect(ingress.versions?.reports()?.app).to.include({ arrived: 0, exposed: 0 });
        tell({ share: 1 });
        expect(new Set(await callTimes(2))).to.have.keys(200);
        expect(ingress.versions?.reports()?.app).to.include({ asked: 5, arrived: 2, exposed: 2 });
    });

    // Guards against failures of the target that callers see although an old endpoint could have served them: first by
    // retries, and after four errors, which eject the target's only endpoint, by going to the old one at once.
    it("serves at an old endpoint what failed at the target or cannot go there, and counts the failures", async () => {
        await start("idempotent", ["v1", sealed(200, "old")], ["v2", sealed(500, "broken")]);
        tell({ share: 0.999 });
        expect(new Set(await callTimes(6))).to.have.keys(200);
        expect(counts()).to.deep.equal([6, 4]);
        const report = ingress.versions?.reports()?.app;
        expect(report).to.include({ arrived: 6, exposed: 4 });
        expect(report?.results.v2?.[testRoute({}).name]).to.deep.equal({ failed: 4, times: {} });
    });

    // Guards against a sound version that is rolled back because a link or a machine of its endpoints is down.
    it("counts no connection that could not be opened as a failure of the version", async () => {
        await start("idempotent", ["v1", sealed(200, "old")], ["v2", sealed(200, "new")]);
        endpoints[1]?.close();
        tell({ share: 0.999 });
        expect(new Set(await callTimes(6))).to.have.keys(200);
        const report = ingress.versions?.reports()?.app;
        expect(report?.exposed).to.be.above(0);
        expect(report?.results).to.have.keys("v1");
    });

    // Guards against retries that bring a request to a version that it may not use.
    it("does not retry at the target what may not go there", async () => {
        await start("idempotent", ["v1", sealed(500, "broken")], ["v2", sealed(200, "new")]);
        tell({ share: 0 });
        await callTimes(4);
        expect(counts()[1]).to.equal(0);
    });

    // Guards against streams that are resumed at a version that was rolled back.
    it("resumes no stream at the target once that was rolled back", async () => {
        const breaking: Answer = async (req, res) => {
            res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
            res.write(events[0]);
            await new Promise(resolve => setTimeout(resolve, 60));
            tell({ state: "rolled_back", barred: ["v2"] }, 2);
            res.destroy();
        };
        await start("stream", ["v1", sealed(200, events.join(""))], ["v2", breaking], ["v2", breaking]);
        tell({ share: 1 });
        const answer = await ingress.call({ method: "POST", body: "x" });
        expect(answer).to.include({ status: 200, body: events[0], complete: false });
        const [old, ...targets] = counts();
        expect(old).to.equal(0);
        expect(targets.sort()).to.deep.equal([0, 1]);
    });
});
