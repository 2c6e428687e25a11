import { Dispatcher, type DispatchRequest, EngineModel, EngineSpeedEstimate } from "@lentilramp/dispatch";
import { IngressComponentFactory, ingressPolicyDefaults } from "@lentilramp/ingress";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { IngressHarness } from "./ingress-harness.ts";

/** Returns the kind of the decision for one prompt with one mechanism switched off, after booking `load`. */
function decideWithout(
    disabled: keyof typeof ingressPolicyDefaults | undefined,
    load: { tokens: number; count: number; },
) {
    const components = new IngressComponentFactory(
        disabled === undefined ? ingressPolicyDefaults : { ...ingressPolicyDefaults, [disabled]: false },
    );
    const [loads, health, memory] = [
        components.createLoadTracker(),
        components.createEndpointHealth(),
        components.createPrefixMemory(),
    ];
    const engine = { id: "e", failureDomain: "a", slots: 4 };
    for (let i = 0; i < load.count; i++) {
        loads.trackRequest("e", { firstByteMs: 0, idleFirstByteMs: 10_000, unreadTokens: load.tokens / load.count }, 0);
    }
    const model = new EngineModel(memory, components.createPromptAffinity(() => []), new EngineSpeedEstimate(100));
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
    return new Dispatcher(loads, health, new SeededRandom(1), components.dispatchOptions()).decide(
        req,
        [engine],
        model,
        0,
    )
        .kind;
}

describe("IngressComponentFactory", () => {
    // An ablation measured no effect because the fleet view of an ingress was built without the policy.
    it("applies the policy to the fleet view and the relay of an ingress", async () => {
        for (const enabled of [true, false]) {
            const harness = await IngressHarness.start(undefined, [], { ejection: enabled, resumption: enabled });
            for (let i = 0; i < 20; i++) {
                harness.view.health.recordOutcome("e", ["e", "f", "g"], "broken", i);
            }
            expect(harness.view.health.isUsable("e", 21)).to.equal(!enabled);
            expect(harness.relay.resumesStreams).to.equal(enabled);
            await harness.close();
        }
    });

    it("refuses a request instead of queueing it when waiting is off", () => {
        expect(decideWithout(undefined, { tokens: 25_000, count: 2 })).to.equal("wait");
        expect(decideWithout("waiting", { tokens: 25_000, count: 2 })).to.equal("refuse");
    });

    it("sends no more requests than an endpoint has slots when overbooking is off", () => {
        expect(decideWithout(undefined, { tokens: 400, count: 4 })).to.equal("send");
        expect(decideWithout("overbooking", { tokens: 400, count: 4 })).to.not.equal("send");
    });

    it("records no cached prompt parts and ejects no endpoint when prefix memory and ejection are off", () => {
        const components = new IngressComponentFactory({
            ...ingressPolicyDefaults,
            prefixMemory: false,
            ejection: false,
        });
        const memory = components.createPrefixMemory();
        memory.record("e", [{ id: "p", tokens: 500 }], 10_000, 0);
        expect(memory.cachedTokens("e", [{ id: "p", tokens: 500 }])).to.equal(0);
        const health = components.createEndpointHealth();
        for (let i = 0; i < 20; i++) {
            health.recordOutcome("e", ["e", "f", "g"], "broken", i);
        }
        expect(health.isUsable("e", 21)).to.equal(true);
    });
});
