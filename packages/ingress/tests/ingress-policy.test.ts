import { Dispatcher, type DispatchRequest, EngineModel, EngineSpeedEstimate } from "@lentilramp/dispatch";
import { IngressComponentFactory, ingressPolicyDefaults } from "@lentilramp/ingress";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { IngressHarness } from "./ingress-harness.ts";

/** Decides for one prompt with one mechanism switched off; `load` books requests first. */
function decideWithout(off: keyof typeof ingressPolicyDefaults | undefined, load: { tokens: number; count: number; }) {
    const parts = new IngressComponentFactory(
        off === undefined ? ingressPolicyDefaults : { ...ingressPolicyDefaults, [off]: false },
    );
    const [board, health, memory] = [
        parts.createLoadTracker(),
        parts.createEndpointHealth(),
        parts.createPrefixMemory(),
    ];
    const engine = { id: "e", failureDomain: "a", slots: 4 };
    for (let i = 0; i < load.count; i++) {
        board.trackRequest("e", { firstByteMs: 0, idleFirstByteMs: 10_000, unreadTokens: load.tokens / load.count }, 0);
    }
    const model = new EngineModel(memory, parts.createPromptAffinity(() => []), new EngineSpeedEstimate(100));
    const req: DispatchRequest = {
        id: "r",
        service: "s",
        workspace: "w",
        rank: 0,
        arrivedAt: 0,
        targetAt: 300,
        deadline: 4_000,
        work: { parts: [{ id: "p", tokens: 500 }], promptTokens: 500, maxOutputTokens: 10, outputTokens: 10 },
    };
    return new Dispatcher(board, health, new SeededRandom(1), parts.dispatchOptions()).decide(req, [engine], model, 0)
        .kind;
}

describe("IngressParts", () => {
    // The first ablation measured nothing: the view of an ingress was built without its policy.
    it("reach the view and the relay of an ingress", async () => {
        for (const on of [true, false]) {
            const harness = await IngressHarness.start(undefined, [], { ejection: on, resumption: on });
            for (let i = 0; i < 20; i++) {
                harness.view.health.recordOutcome("e", ["e", "f", "g"], "broken", i);
            }
            expect(harness.view.health.isUsable("e", 21)).to.equal(!on);
            expect(harness.relay.resumesStreams).to.equal(on);
            await harness.close();
        }
    });

    it("refuses instead of waiting where waiting is off", () => {
        expect(decideWithout(undefined, { tokens: 25_000, count: 2 })).to.equal("wait");
        expect(decideWithout("waiting", { tokens: 25_000, count: 2 })).to.equal("refuse");
    });

    it("sends nothing beyond the places where overbooking is off", () => {
        expect(decideWithout(undefined, { tokens: 400, count: 4 })).to.equal("send");
        expect(decideWithout("overbooking", { tokens: 400, count: 4 })).to.not.equal("send");
    });

    it("forgets what engines have read, and never ejects, where these are off", () => {
        const parts = new IngressComponentFactory({ ...ingressPolicyDefaults, prefixMemory: false, ejection: false });
        const memory = parts.createPrefixMemory();
        memory.record("e", [{ id: "p", tokens: 500 }], 10_000, 0);
        expect(memory.cachedTokens("e", [{ id: "p", tokens: 500 }])).to.equal(0);
        const health = parts.createEndpointHealth();
        for (let i = 0; i < 20; i++) {
            health.recordOutcome("e", ["e", "f", "g"], "broken", i);
        }
        expect(health.isUsable("e", 21)).to.equal(true);
    });
});
