import { StewardState } from "@lentilramp/steward";
import { expect } from "chai";
import { lowersRollout } from "../src/rollout-replicas.ts";
import { rolloutEndpoint } from "./rollout-sync.ts";

describe("lowersRollout", () => {
    // Guards against old replicas that are released while new ones have not proved good.
    it("holds back orders that lower the replicas of a service with a running roll-out", () => {
        const state = new StewardState(() => undefined, () => undefined);
        const endpoints = [rolloutEndpoint("e1", "v1"), rolloutEndpoint("e2", "v1"), {
            ...rolloutEndpoint("e3", "v2"),
            reclaimable: true,
        }];
        const lower = { service: "app", failureDomain: "a", count: 1, reclaimable: false };
        expect(lowersRollout(lower, endpoints, state.rollouts)).to.equal(false);
        const order = { service: "app", target: "v2", orderedAt: 1, deadline: 9, listed: ["v1"], repeatsSince: 0 };
        state.apply(JSON.stringify({ type: "rollout-order", ...order }), 1);
        expect(lowersRollout(lower, endpoints, state.rollouts)).to.equal(true);
        expect(lowersRollout({ ...lower, count: 2 }, endpoints, state.rollouts)).to.equal(false);
        expect(lowersRollout({ ...lower, reclaimable: true }, endpoints, state.rollouts)).to.equal(false);
        expect(lowersRollout({ ...lower, service: "other" }, endpoints, state.rollouts)).to.equal(false);
    });
});
