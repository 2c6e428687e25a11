import { CapMeter } from "@lentilramp/fleet";
import { defaultHttpServerOptions, HttpServer, ProcessKey, RpcClient, RpcServer } from "@lentilramp/protocol";
import { MemoryEventLog, SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { testWorkspace } from "../../catalog/tests/fixtures.ts";
import { CapDraws, type DrawAnswer, drawRequestSchema } from "../src/index.ts";

describe("CapDraws", () => {
    const workspace = testWorkspace({ capPerSecond: 100, capBurst: 100, countsTokens: true });
    const clock = new SystemClock();
    const log = new MemoryEventLog();
    const key = new ProcessKey("k".repeat(32));
    let closers: (() => Promise<void>)[] = [];
    let asked = 0;

    async function create(answer: () => Promise<DrawAnswer>): Promise<CapDraws> {
        const http = new HttpServer({ host: "127.0.0.1", port: 0, ...defaultHttpServerOptions }, log);
        const server = new RpcServer(key, log);
        asked = 0;
        server.method("caps.draw", drawRequestSchema, async () => {
            asked++;
            return await answer();
        });
        server.attach(http);
        await http.start();
        const client = new RpcClient(key, clock);
        closers = [() => client.close(), () => http.close()];
        const meter = new CapMeter();
        meter.setShare("w", { share: 0.1, floor: 0.1, expiresAt: Infinity });
        return new CapDraws(meter, client, () => http.address, clock, log);
    }

    afterEach(async () => {
        for (const close of closers) {
            await close();
        }
    });

    it("uses the own part without a word to the steward, and draws what is missing", async () => {
        const draws = await create(async () => ({ leading: true, admitted: true }));
        expect((await draws.use(workspace, 10)).admitted).to.equal(true);
        expect(asked).to.equal(0);
        expect((await draws.use(workspace, 90)).admitted).to.equal(true);
        expect(asked).to.equal(1);
    });

    // A workspace at six times its cap would have asked the steward hundreds of times a second.
    it("does not ask again at once after a refusal, except for less", async () => {
        const draws = await create(async () => ({ leading: true, admitted: false, retryMs: 60 }));
        await draws.use(workspace, 10);
        for (let i = 0; i < 5; i++) {
            const verdict = await draws.use(workspace, 90);
            expect(!verdict.admitted && verdict.retryAt - clock.now()).to.be.within(1, 65);
        }
        expect(asked).to.equal(1);
        await draws.use(workspace, 50);
        expect(asked).to.equal(2);
    });

    it("refuses by its own part alone, and at once, while the steward does not answer", async () => {
        const draws = await create(() => new Promise(() => undefined));
        await draws.use(workspace, 10);
        const startedAt = clock.now();
        expect((await draws.use(workspace, 90)).admitted).to.equal(false);
        expect(clock.now() - startedAt).to.be.within(100, 400);
        const againAt = clock.now();
        expect((await draws.use(workspace, 90)).admitted).to.equal(false);
        expect(clock.now() - againAt).to.be.below(50);
        expect(asked).to.equal(1);
    });
});
