import type { IngressDescription } from "@lentilramp/fleet";
import type { RandomSource } from "@lentilramp/runtime";

/** An ingress to which requests can be forwarded. */
export type Peer = Pick<IngressDescription, "name" | "host" | "port">;

/**
 * Returns the peers that may take a request, in the order in which they are asked: those of other failure domains first,
 * since the paths of a whole one are often lost together.
 */
export function selectPeers(
    roster: readonly IngressDescription[],
    own: { name: string; failureDomain: string; },
    random: RandomSource,
): Peer[] {
    const able = roster.filter(({ name, accepting, reachesEndpoints }) =>
        name !== own.name && accepting && reachesEndpoints !== false
    );
    const shuffled = random.sample(able, able.length);
    const isNear = ({ failureDomain }: IngressDescription): boolean => failureDomain === own.failureDomain;
    return [...shuffled.filter(peer => !isNear(peer)), ...shuffled.filter(isNear)];
}
