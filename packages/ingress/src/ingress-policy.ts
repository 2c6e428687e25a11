import {
    dispatchDefaults,
    type DispatchOptions,
    EndpointHealth,
    EndpointPace,
    healthDefaults,
    LoadTracker,
    NoAffinity,
    PrefixCacheIndex,
    type PromptAffinity,
    RendezvousAffinity,
} from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import type { Clock } from "@lentilramp/runtime";
import { z } from "zod";

const mechanism = (description: string) => z.boolean().default(true).describe(description);

/** Mechanisms of an ingress that can be switched off to measure the gain of each one in a deployment. */
export const ingressPolicySchema = z.strictObject({
    promptHomes: mechanism("sends prompts with the same shared parts to the same engine"),
    prefixMemory: mechanism("remembers which prompt parts an engine has read"),
    ownWaits: mechanism(
        "counts the delays of the ingress's own requests at an engine besides the load that others report",
    ),
    fleetSpeed: mechanism("uses the engine speed measured by the fleet until the ingress has measured it itself"),
    waiting: mechanism("lets a request wait for a slot while its first byte can still be on time"),
    rankedTargets: mechanism("keeps the last part of the time to the latency target for the more urgent ranks"),
    readingWeight: mechanism("prefers an engine that has read a prompt to one that would answer a little sooner"),
    overbooking: mechanism("sends one request more than an endpoint has slots"),
    ejection: mechanism("sends nothing to endpoints that fail much more often than their siblings"),
    endpointPace: mechanism("estimates how long work takes at each endpoint that states its pace"),
    crashingParts: mechanism("learns which requests and prompt parts crash endpoints, and refuses requests with them"),
    crashingRequests: mechanism("refuses whole requests that crash endpoints, beside prompt parts"),
    resumption: mechanism("resumes a broken stream at another endpoint"),
    fleetAdmission: mechanism(
        "refuses requests by the fleet's admission level while a service whose endpoints report their pace is overloaded",
    ),
});
export type IngressPolicy = z.infer<typeof ingressPolicySchema>;

export const ingressPolicyDefaults: IngressPolicy = ingressPolicySchema.parse({}, { jitless: true });

/** Fraction of the time to the latency target that every rank may use when targets are not ranked. */
const unrankedTargetPart = 0.85;

/** Creates the dispatch components of an ingress with the mechanisms that its policy enables; one for each process. */
export class IngressComponentFactory {
    constructor(readonly policy: IngressPolicy) {}

    createEndpointHealth(): EndpointHealth {
        return new EndpointHealth(
            this.policy.ejection ? healthDefaults : { ...healthDefaults, minFailureWeight: Infinity },
        );
    }

    /** Returns the estimates of the endpoints of one service; undefined if the policy switches them off. */
    createEndpointPace(clock: Clock): EndpointPace | undefined {
        return this.policy.endpointPace ? new EndpointPace(clock) : undefined;
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
            targetFractionByRank: rankedTargets ? dispatchDefaults.targetFractionByRank : [unrankedTargetPart],
            readingWeight: readingWeight ? dispatchDefaults.readingWeight : 0,
            overbooking: overbooking ? dispatchDefaults.overbooking : 0,
        };
    }
}
