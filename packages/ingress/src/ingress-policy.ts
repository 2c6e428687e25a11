import {
    dispatchDefaults,
    type DispatchOptions,
    EndpointHealth,
    healthDefaults,
    LoadTracker,
    NoAffinity,
    PrefixCacheIndex,
    type PromptAffinity,
    RendezvousAffinity,
} from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import { z } from "zod";

const mechanism = (description: string) => z.boolean().default(true).describe(description);

/** Mechanisms of an ingress that can be switched off, to see what each is worth in a deployment. */
export const ingressPolicySchema = z.strictObject({
    promptHomes: mechanism("sends prompts with the same shared parts to the same engine"),
    prefixMemory: mechanism("remembers which prompt parts an engine has read"),
    ownWaits: mechanism("believes what own requests wait at an engine before what others report of it"),
    fleetSpeed: mechanism("takes the engine speed that the fleet has measured until the own one is known"),
    waiting: mechanism("lets a request wait for a place while its first byte can still be on time"),
    rankedTargets: mechanism("leaves the end of the time to the target to the more urgent ranks"),
    readingWeight: mechanism("prefers an engine that has read a prompt to one that would answer a little sooner"),
    overbooking: mechanism("sends one request more than an endpoint has places"),
    ejection: mechanism("sends nothing to endpoints that fail much more often than their siblings"),
    resumption: mechanism("goes on with a broken stream at another endpoint"),
});
export type IngressPolicy = z.infer<typeof ingressPolicySchema>;

export const ingressPolicyDefaults: IngressPolicy = ingressPolicySchema.parse({});

/** Part of the time to the target for all ranks alike. */
const rankPartWithoutRanks = 0.85;

/** Builds the deciding parts of an ingress as its policy says; one for a process. */
export class IngressComponentFactory {
    constructor(readonly policy: IngressPolicy) {}

    createEndpointHealth(): EndpointHealth {
        return new EndpointHealth(
            this.policy.ejection ? healthDefaults : { ...healthDefaults, minFailureWeight: Infinity },
        );
    }

    createPrefixMemory(): PrefixCacheIndex {
        return new PrefixCacheIndex(this.policy.prefixMemory ? undefined : 0);
    }

    createLoadTracker(): LoadTracker {
        return new LoadTracker(this.policy.ownWaits);
    }

    createPromptAffinity(endpoints: (service: string) => readonly Endpoint[]): PromptAffinity {
        return this.policy.promptHomes ? new RendezvousAffinity(endpoints) : new NoAffinity();
    }

    dispatchOptions(): DispatchOptions {
        const { waiting, rankedTargets, overbooking, readingWeight } = this.policy;
        return {
            ...dispatchDefaults,
            mayWait: waiting,
            targetFractionByRank: rankedTargets ? dispatchDefaults.targetFractionByRank : [rankPartWithoutRanks],
            readingWeight: readingWeight ? dispatchDefaults.readingWeight : 0,
            overbooking: overbooking ? dispatchDefaults.overbooking : 0,
        };
    }
}
