import type { RandomSource } from "@lentilramp/runtime";

/** A place of a process. */
export interface Place {
    region: number;
    domain: number;
}

export interface LinkOptions {
    withinDomainMs: number;
    betweenDomainsMs: number;
    betweenRegionsMs: number;
    jitterMs: number;
    /** Part of the segments that is lost and sent again after the retransmission timeout, which doubles each time. */
    loss: number;
    retransmissionMs: number;
}

export const linkDefaults: LinkOptions = {
    withinDomainMs: 0.5,
    betweenDomainsMs: 5,
    betweenRegionsMs: 40,
    jitterMs: 1,
    loss: 0.01,
    retransmissionMs: 200,
};

/** Delay of one TCP message between two places, in ms. */
export function messageDelay(from: Place, to: Place, random: RandomSource, options: LinkOptions): number {
    let delay = options.withinDomainMs;
    if (from.region !== to.region) {
        delay = options.betweenRegionsMs;
    }
    else if (from.domain !== to.domain) {
        delay = options.betweenDomainsMs;
    }
    delay -= Math.log(1 - random.next()) * options.jitterMs;
    for (let timeout = options.retransmissionMs; random.next() < options.loss; timeout *= 2) {
        delay += timeout;
    }
    return delay;
}
