import { SystemClock } from "@lentilramp/runtime";
import type { Address } from "@lentilramp/stand-ins";
import { expectedTokens, ModelEngine, requestJson } from "@lentilramp/stand-ins";
import { SilenceDetector, StreamAssembler } from "@lentilramp/streams";
import { expect } from "chai";
import { readStream } from "../../stand-ins/tests/engine-client.ts";

const body = { messages: [{ role: "user", content: "Summarise the claim." }], max_tokens: 40 };

/** Passes the tokens of one attempt to the assembler; `onToken` returns false to disconnect. */
async function runAttempt(
    address: Address,
    assembler: StreamAssembler,
    id: string,
    onToken: (count: number) => boolean = () => true,
): Promise<void> {
    const attemptNumber = assembler.startAttempt();
    const { offset, text } = assembler.received();
    let isCurrent = true;
    const request = { ...body, resume_offset: offset, resume_text: text };
    const stream = await readStream(address, request, { "x-request-id": id }, (count, token) => {
        const result = assembler.accept(attemptNumber, token.offset, token.text);
        isCurrent = result.kind === "released" || result.kind === "repeated";
        return isCurrent && onToken(count);
    });
    if (stream.done && isCurrent) {
        assembler.finish(attemptNumber);
    }
}

describe("streams against the engine stand-in", () => {
    const engines: ModelEngine[] = [];
    const start = async (options: ConstructorParameters<typeof ModelEngine>[0]) => {
        const engine = new ModelEngine(options);
        engines.push(engine);
        return await engine.start();
    };
    afterEach(async () => {
        await Promise.all(engines.splice(0).map(engine => engine.close()));
    });

    it("neither breaks nor repeats an answer when engines resume at another offset than requested", async () => {
        const assembler = new StreamAssembler();
        await runAttempt(await start({ stepMs: 1 }), assembler, "a1", count => count < 10);
        await runAttempt(await start({ stepMs: 1, resumeShift: 3 }), assembler, "a2");
        expect(assembler.nextOffset).to.equal(10);
        await runAttempt(await start({ stepMs: 1, resumeShift: -4 }), assembler, "a3");
        expect(assembler.complete).to.equal(true);
        expect(assembler.received().text).to.equal(expectedTokens(body).join(""));
    });

    it("does not let a stream hang on a silent connection while the endpoint answers new connections", async () => {
        const [silent, other] = [await start({ stepMs: 10 }), await start({ stepMs: 1 })];
        const clock = new SystemClock();
        const detector = new SilenceDetector({ silenceMs: 100, confirmMs: 50, probeTimeoutMs: 10_000 });
        const assembler = new StreamAssembler();
        detector.watch("c1", "silent", clock.now());
        const first = runAttempt(silent, assembler, "r1", count => {
            detector.onBytes("c1", assembler.nextOffset, clock.now());
            if (count === 5) {
                void requestJson(silent, "POST", "/admin/faults", { kind: "silence" });
            }
            return true;
        });
        for (let isDead = false; !isDead;) {
            await clock.sleepUntil(clock.now() + 10);
            for (const action of detector.poll(clock.now())) {
                isDead ||= action.kind === "dead";
                if (action.kind === "probe") {
                    const { body: status } = await requestJson(silent, "GET", "/v1/requests/r1");
                    const { produced, state } = status as { produced: number; state: "running" | "done"; };
                    detector.onProbeAnswer("c1", action.probe, { kind: "status", produced, state }, clock.now());
                }
            }
        }
        expect(assembler.complete).to.equal(false);
        await runAttempt(other, assembler, "r2");
        expect(assembler.received().text).to.equal(expectedTokens(body).join(""));
        await requestJson(silent, "POST", "/admin/faults", { kind: "cut-connections" });
        await first;
    });
});
