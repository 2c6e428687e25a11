import type { Address } from "@lentilramp/stand-ins";
import {
    expectedTokens,
    ModelEngine,
    promptBlocks,
    promptTokens,
    requestJson,
    WeightStore,
} from "@lentilramp/stand-ins";
import { expect } from "chai";
import { readStream, textOf } from "./engine-client.ts";

const body = { messages: [{ role: "user", content: "Draft a quote for a crew of nine. ".repeat(8) }], max_tokens: 30 };

describe("ModelEngine", () => {
    const started: ModelEngine[] = [];
    const start = async (options: ConstructorParameters<typeof ModelEngine>[0] = {}): Promise<Address> => {
        const engine = new ModelEngine({ stepMs: 1, cacheEventLagMs: 0, loadReportLagMs: 0, orderMs: 0, ...options });
        started.push(engine);
        return await engine.start();
    };
    const fault = async (address: Address, value: object) => {
        expect((await requestJson(address, "POST", "/admin/faults", value)).status).to.equal(200);
    };
    afterEach(async () => {
        await Promise.all(started.splice(0).map(engine => engine.close()));
    });

    // Guards against answers that a caller cannot check and against a recomputation that continues differently.
    it("streams the expected tokens and continues identically after a resume", async () => {
        const address = await start();
        const tokens = expectedTokens(body);
        expect(textOf(await readStream(address, body))).to.deep.equal(tokens);
        const resume = { ...body, resume_offset: 12, resume_text: tokens.slice(0, 12).join("") };
        const rest = await readStream(address, resume);
        expect(rest.resumeOffset).to.equal(12);
        expect(textOf(rest)).to.deep.equal(tokens.slice(12));
    });

    // Guards against an entry that resumes with a prefix that is not the beginning of the answer.
    it("refuses a resume text that is not the beginning of the answer", async () => {
        const address = await start();
        const answer = await readStream(address, { ...body, resume_offset: 2, resume_text: " wrong text" });
        expect(answer.status).to.equal(409);
    });

    // Guards against a resume fault that hides the offset that was really used.
    it("resumes at another offset under the fault and reports it", async () => {
        const address = await start({ resumeShift: -3 });
        const tokens = expectedTokens(body);
        const resume = { ...body, resume_offset: 10, resume_text: tokens.slice(0, 10).join("") };
        const rest = await readStream(address, resume);
        expect([rest.resumeOffset, rest.tokens[0]?.offset, rest.tokens[0]?.text]).to.deep.equal([7, 7, tokens[7]]);
    });

    // Guards against generation that goes on after the client has gone, and against a status that loses the count.
    it("cancels when the client disconnects and keeps the number of tokens produced", async () => {
        const address = await start({ stepMs: 3 });
        const headers = { "x-request-id": "r1" };
        const answer = await readStream(address, { ...body, max_tokens: 5_000 }, headers, count => count < 5);
        expect(answer.cut).to.equal(true);
        for (;;) {
            const status = (await requestJson(address, "GET", "/v1/requests/r1")).body as {
                state: string;
                produced: number;
            };
            if (status.state === "cancelled") {
                expect(status.produced).to.be.at.least(5).and.below(5_000);
                break;
            }
        }
        expect((await requestJson(address, "GET", "/v1/requests/other")).status).to.equal(404);
    });

    // Guards against a silence fault that also stops the status request on a new connection.
    it("goes silent on open connections while new ones work and production continues", async () => {
        const address = await start({ stepMs: 2 });
        let onSilenced: () => void = () => undefined;
        // The status is asked only after the fault, which also silences a status request that is in progress.
        const silenced = new Promise<void>(resolve => onSilenced = resolve);
        const stream = readStream(address, { ...body, max_tokens: 60 }, { "x-request-id": "r2" }, count => {
            if (count === 3) {
                void fault(address, { kind: "silence" }).then(onSilenced);
            }
            return true;
        });
        const produced = async () =>
            (await requestJson(address, "GET", "/v1/requests/r2").then(answer => answer.body)) as { produced: number; };
        await silenced;
        while ((await produced()).produced !== 60) {
            await new Promise(resolve => setImmediate(resolve));
        }
        await fault(address, { kind: "cut-connections" });
        const received = await stream;
        expect(received.cut).to.equal(true);
        expect(received.tokens.length).to.be.at.least(3).and.below(60);
    });

    // Guards against a cut that still delivers the end of the answer.
    it("cuts streams in the middle", async () => {
        const address = await start({ stepMs: 3 });
        const stream = await readStream(address, { ...body, max_tokens: 5_000 }, {}, count => {
            if (count === 4) {
                void fault(address, { kind: "cut-streams" });
            }
            return true;
        });
        expect(stream.cut).to.equal(true);
    });

    // Guards against an import that covers nothing, and against keeping a truncated or refused KV cache.
    it("moves a running request to another engine by KV export", async () => {
        const [source, target] = [await start({ stepMs: 3 }), await start()];
        const long = { ...body, max_tokens: 2_000 };
        let pushed: Promise<unknown> | undefined;
        await readStream(source, long, { "x-request-id": "r3" }, count => {
            if (count === 20) {
                const to = { ...target, targetId: "moved", pause: true };
                pushed = requestJson(source, "POST", "/v1/kv/r3/push", to).then(async answer => {
                    await requestJson(source, "DELETE", "/v1/requests/r3");
                    return answer.body;
                });
            }
            return true;
        });
        const moved = await pushed as { nextOffset: number; tokens: number; };
        expect(moved.tokens).to.equal(promptTokens(long) + moved.nextOffset);
        const prefix = expectedTokens(long).slice(0, moved.nextOffset).join("");
        const resumed = await readStream(
            target,
            { ...long, resume_offset: moved.nextOffset, resume_text: prefix },
            { "x-kv-id": "moved" },
            () => false,
        );
        expect(resumed.resumeOffset).to.equal(moved.nextOffset);
        const counters = (await requestJson(target, "GET", "/v1/counters")).body as Record<string, number>;
        expect(counters).to.include({ recomputed: 0, prefilled: 0 });
    });

    // Guards against a cut or refused export that is reported as moved or leaves the source paused.
    it("reports exports that are cut or refused and lets the source go on", async () => {
        const [source, target] = [await start({ stepMs: 3 }), await start()];
        const long = { ...body, max_tokens: 400 };
        const push = () => requestJson(source, "POST", "/v1/kv/r4/push", { ...target, pause: true });
        const statuses: Promise<number[]>[] = [];
        const stream = await readStream(source, long, { "x-request-id": "r4" }, count => {
            if (count === 5) {
                statuses.push((async () => {
                    await fault(source, { kind: "cut-exports", afterBytes: 0 });
                    const cut = (await push()).status;
                    await fault(source, { kind: "cut-exports" });
                    await fault(target, { kind: "refuse-imports", on: true });
                    return [cut, (await push()).status];
                })());
            }
            return true;
        });
        expect(await statuses[0]).to.deep.equal([502, 502]);
        expect(stream.done).to.equal(true);
    });

    // Guards against a part of a KV cache that is lost when its export is cut, and against a part without its base.
    it("keeps the part of an export that arrived and continues behind it", async () => {
        const kv = { kvBytesPerToken: 8_192 };
        const [source, target] = [await start({ stepMs: 3, ...kv }), await start(kv)];
        const long = { ...body, max_tokens: 5_000 };
        const push = async (options: object) =>
            await requestJson(source, "POST", "/v1/kv/r5/push", { ...target, pause: true, ...options });
        let results: Promise<unknown[]> | undefined;
        await readStream(source, long, { "x-request-id": "r5" }, count => {
            if (count === 80) {
                results = (async () => {
                    const missing = (await push({ fromToken: 64 })).status;
                    await fault(source, { kind: "cut-exports", afterBytes: 655_360 });
                    const cut = (await push({})).status;
                    await fault(source, { kind: "cut-exports" });
                    let kept = 0;
                    while (kept === 0) {
                        const { body: state } = await requestJson(target, "GET", "/v1/imports/r5");
                        kept = (state as { tokens?: number; }).tokens ?? 0;
                    }
                    const rest = (await push({ fromToken: kept })).body as { tokens: number; bytes: number; };
                    await requestJson(source, "DELETE", "/v1/requests/r5");
                    return [missing, cut, kept > 80, rest.bytes - (rest.tokens - kept) * 8_192];
                })();
            }
            return true;
        });
        // 655,360 bytes are 80 tokens; bytes that are on their way when the connection is cut are lost.
        expect(await results).to.deep.equal([502, 502, false, 0]);
    });

    // Guards against cache events without gaps under the fault and a full listing that does not repair them.
    it("gives cache events with gaps and a full listing", async () => {
        const lossy = await start({ cacheEventDropRate: 1 });
        await readStream(lossy, body);
        expect((await requestJson(lossy, "GET", "/v1/cache/events?after=0")).body).to.deep.equal({ events: [] });
        expect((await requestJson(lossy, "GET", "/v1/cache")).body).to.deep.equal({
            sequence: 1,
            blocks: promptBlocks(body),
        });
        const sound = await start();
        await readStream(sound, body);
        expect((await requestJson(sound, "GET", "/v1/cache/events?after=0")).body).to.deep.equal({
            events: [{ sequence: 1, kind: "stored", blocks: promptBlocks(body) }],
        });
    });

    // Guards against an engine that checks fencing numbers but accepts an order of an earlier holder.
    it("checks or ignores the fencing number by option and refuses expired orders", async () => {
        const order = (fencingNumber: number, expiresAt = Date.now() + 60_000) => ({
            kind: "set-role",
            target: "decode",
            fencingNumber,
            expiresAt,
        });
        const statuses = async (address: Address) => {
            const send = async (value: object) => (await requestJson(address, "POST", "/v1/orders", value)).status;
            return [await send(order(5)), await send(order(4)), await send(order(5)), await send(order(6, 1))];
        };
        expect(await statuses(await start({ checkFencing: true }))).to.deep.equal([202, 409, 202, 410]);
        expect(await statuses(await start({ checkFencing: false }))).to.deep.equal([202, 202, 202, 410]);
    });

    // Guards against an order that is lost when the weight store refuses, and against one that skips the store.
    it("loads a model from the weight store and records an order that fails", async () => {
        const store = new WeightStore({ weights: { small: 10 } });
        const address = await start({ models: ["first"], weightStore: await store.start() });
        const order = (target: string) => ({
            kind: "load-model",
            target,
            fencingNumber: 1,
            expiresAt: Date.now() + 60_000,
        });
        await requestJson(address, "POST", "/v1/orders", order("small"));
        await requestJson(address, "POST", "/v1/orders", order("missing"));
        let state: { models: string[]; failed: unknown[]; };
        do {
            state = (await requestJson(address, "GET", "/v1/orders")).body as typeof state;
        }
        while (state.models.length < 2 || state.failed.length < 1);
        expect(state.models).to.deep.equal(["first", "small"]);
        await store.close();
        expect((await readStream(address, { ...body, model: "missing" })).status).to.equal(404);
    });

    // Guards against tests that take a frozen engine for a dead one: a frozen engine continues after the freeze.
    it("produces nothing while frozen and continues after the thaw", async () => {
        const address = await start();
        await fault(address, { kind: "freeze" });
        let answered = false;
        const stream = readStream(address, body).then(result => {
            answered = true;
            return result;
        });
        await requestJson(address, "POST", "/admin/faults", { kind: "slow", factor: 1 });
        expect(answered).to.equal(false);
        await fault(address, { kind: "thaw" });
        expect(textOf(await stream)).to.deep.equal(expectedTokens(body));
    });

    // Guards against a die fault that leaves the port open.
    it("refuses connections after it died", async () => {
        const address = await start();
        await fault(address, { kind: "die" });
        let failed = false;
        while (!failed) {
            await requestJson(address, "GET", "/v1/load").catch(() => failed = true);
        }
    });
});
