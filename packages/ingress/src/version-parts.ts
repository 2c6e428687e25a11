import { type Endpoint, versionOf } from "@lentilramp/fleet";

/** Says whether the version of an endpoint may be used; the answer must depend on nothing else of the endpoint. */
export type VersionPredicate = (endpoint: Endpoint) => boolean;

/** Sublists that are kept of one list; a service seldom has more than three versions at a time. */
const maxParts = 16;

interface KnownList {
    /** One endpoint of each version. */
    ofEachVersion: readonly Endpoint[];
    /** Sublists by the indices of their versions in `ofEachVersion`. */
    parts: Map<string, readonly Endpoint[]>;
}

/**
 * Sublists of lists of endpoints by version. They are kept as long as their list, so that a choice among many endpoints
 * need not filter them, and gets the same array again for an index that it keeps.
 */
export class VersionParts {
    private readonly lists = new WeakMap<readonly Endpoint[], KnownList>();

    /**
     * Returns the endpoints of a list that must not change whose versions may be used. `mayUse` is asked for one endpoint
     * of each version, at each call.
     */
    of(list: readonly Endpoint[], mayUse: VersionPredicate): readonly Endpoint[] {
        const { ofEachVersion, parts } = this.known(list);
        const usable = ofEachVersion.flatMap((endpoint, i) => mayUse(endpoint) ? [i] : []);
        if (usable.length === ofEachVersion.length) {
            return list;
        }
        const key = usable.join();
        let part = parts.get(key);
        if (part === undefined) {
            const versions = new Set(
                usable.map(i => ofEachVersion[i]).flatMap(entry => entry === undefined ? [] : versionOf(entry)),
            );
            part = list.filter(endpoint => versions.has(versionOf(endpoint)));
            if (parts.size >= maxParts) {
                parts.clear();
            }
            parts.set(key, part);
        }
        return part;
    }

    /** Whether a list has an endpoint whose version may be used. */
    some(list: readonly Endpoint[], mayUse: VersionPredicate): boolean {
        return this.known(list).ofEachVersion.some(mayUse);
    }

    private known(list: readonly Endpoint[]): KnownList {
        let known = this.lists.get(list);
        if (known === undefined) {
            const byVersion = new Map(list.map(endpoint => [versionOf(endpoint), endpoint]));
            known = { ofEachVersion: [...byVersion.values()], parts: new Map() };
            this.lists.set(list, known);
        }
        return known;
    }
}
