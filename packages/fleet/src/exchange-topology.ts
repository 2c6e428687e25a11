import murmurhash from "murmurhash";
import type { IngressDescription } from "./roster.ts";

/** Ingresses up to which each one follows every other one. */
const meshLimit = 12;
/** Ingresses that one hub serves; the cost of a hub grows with them. */
const groupLimit = 40;

/** What of an ingress's knowledge a follower is told. */
export type ExchangeScope =
    /** What the ingress itself does. */
    | "own"
    /** What it and the members that it follows do. */
    | "group"
    /** What it and everyone that it follows do, the asker left out. */
    | "fleet";

/** An ingress to follow, and what of it. */
export interface FollowedPeer {
    peer: IngressDescription;
    scope: ExchangeScope;
}

/**
 * Whom `own` follows. A small fleet is a full mesh. In a larger one each failure domain has hubs: a hub follows its
 * members and the other hubs, and a member follows its hub, so that the messages of the fleet grow with its size and
 * not with its square. All ingresses with the same roster get the same hubs. `suspects` are peers that fell silent.
 */
export function peersToFollow(
    own: string,
    roster: readonly IngressDescription[],
    suspects: ReadonlySet<string> = new Set(),
): FollowedPeer[] {
    const others = roster.filter(({ name }) => name !== own);
    if (roster.length <= meshLimit) {
        return others.map(peer => ({ peer, scope: "own" }));
    }
    const groups = groupsOf(roster);
    const ownGroup = groups.find(group => group.some(({ name }) => name === own));
    const ownHub = hubOf(ownGroup ?? [], suspects);
    if (ownHub?.name !== own) {
        return ownHub === undefined ? [] : [{ peer: ownHub, scope: "fleet" }];
    }
    return groups.flatMap((group): FollowedPeer[] => {
        if (group === ownGroup) {
            return group.filter(({ name }) => name !== own).map(peer => ({ peer, scope: "own" }));
        }
        const hub = hubOf(group, suspects);
        return hub === undefined ? [] : [{ peer: hub, scope: "group" }];
    });
}

/** The ingresses by failure domain; a large domain has several groups. */
function groupsOf(roster: readonly IngressDescription[]): IngressDescription[][] {
    const domains = new Map<string, IngressDescription[]>();
    for (const description of roster) {
        const domain = domains.get(description.failureDomain) ?? [];
        domain.push(description);
        domains.set(description.failureDomain, domain);
    }
    return [...domains.values()].flatMap(domain => {
        const count = Math.ceil(domain.length / groupLimit);
        const groups: IngressDescription[][] = Array.from({ length: count }, () => []);
        for (const description of domain) {
            groups[murmurhash.v3(`group ${description.name}`) % count]?.push(description);
        }
        return groups.filter(group => group.length > 0);
    });
}

/** The member that comes first by hash; when it is suspected, the next one. */
function hubOf(group: readonly IngressDescription[], suspects: ReadonlySet<string>): IngressDescription | undefined {
    let hub: { description: IngressDescription; rank: number; } | undefined;
    for (const description of group) {
        const rank = murmurhash.v3(`hub ${description.name}`);
        const first = hub === undefined || rank < hub.rank
            || rank === hub.rank && description.name < hub.description.name;
        if (first && !suspects.has(description.name)) {
            hub = { description, rank };
        }
    }
    return hub?.description;
}
