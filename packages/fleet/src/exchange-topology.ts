import murmurhash from "murmurhash";
import type { IngressDescription } from "./roster.ts";

/** Largest number of ingresses that form a full mesh. */
const maxMeshSize = 12;
/** Largest number of ingresses in a group; the load of its hub grows with it. */
const maxGroupSize = 40;

/** Which ingresses the data in a feed covers. */
export type ExchangeScope =
    /** Only the ingress that sends the feed. */
    | "own"
    /** The sender and the members of its group that it follows. */
    | "group"
    /** The sender and all ingresses covered by the feeds that it follows, except the subscriber. */
    | "fleet";

/** An ingress whose feed is followed, and the scope of that feed. */
export interface FollowedPeer {
    peer: IngressDescription;
    scope: ExchangeScope;
}

/**
 * Returns the peers that the ingress `selfName` follows. A small fleet is a full mesh. In a larger one each failure
 * domain is divided into groups with a hub each: a hub follows the members of its group and the other hubs, and a
 * member follows its hub, so that the number of messages grows linearly with the fleet and not with its square. All
 * ingresses with the same roster and suspects compute the same hubs. `suspects` are peers that stopped responding.
 */
export function peersToFollow(
    selfName: string,
    roster: readonly IngressDescription[],
    suspects: ReadonlySet<string> = new Set(),
): FollowedPeer[] {
    const others = roster.filter(({ name }) => name !== selfName);
    if (roster.length <= maxMeshSize) {
        return others.map(peer => ({ peer, scope: "own" }));
    }
    const groups = groupsOf(roster);
    const selfGroup = groups.find(group => group.some(({ name }) => name === selfName));
    const selfHub = hubOf(selfGroup ?? [], suspects);
    if (selfHub?.name !== selfName) {
        return selfHub === undefined ? [] : [{ peer: selfHub, scope: "fleet" }];
    }
    return groups.flatMap((group): FollowedPeer[] => {
        if (group === selfGroup) {
            return group.filter(({ name }) => name !== selfName).map(peer => ({ peer, scope: "own" }));
        }
        const hub = hubOf(group, suspects);
        return hub === undefined ? [] : [{ peer: hub, scope: "group" }];
    });
}

/** Divides the ingresses by failure domain; a large domain has several groups. */
function groupsOf(roster: readonly IngressDescription[]): IngressDescription[][] {
    const domains = new Map<string, IngressDescription[]>();
    for (const description of roster) {
        const domain = domains.get(description.failureDomain) ?? [];
        domain.push(description);
        domains.set(description.failureDomain, domain);
    }
    return [...domains.values()].flatMap(domain => {
        const groupCount = Math.ceil(domain.length / maxGroupSize);
        const groups: IngressDescription[][] = Array.from({ length: groupCount }, () => []);
        for (const description of domain) {
            groups[murmurhash.v3(`group ${description.name}`) % groupCount]?.push(description);
        }
        return groups.filter(group => group.length > 0);
    });
}

/** Returns the member with the lowest hash that is not suspected. */
function hubOf(group: readonly IngressDescription[], suspects: ReadonlySet<string>): IngressDescription | undefined {
    let hub: { description: IngressDescription; rank: number; } | undefined;
    for (const description of group) {
        const rank = murmurhash.v3(`hub ${description.name}`);
        const ranksLower = hub === undefined || rank < hub.rank
            || rank === hub.rank && description.name < hub.description.name;
        if (ranksLower && !suspects.has(description.name)) {
            hub = { description, rank };
        }
    }
    return hub?.description;
}
