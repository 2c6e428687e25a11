import { isDeepStrictEqual } from "node:util";
import type { Configuration } from "../schema/index.ts";
import type { Change } from "./change.ts";
import { type CollectionName, collectionNames, type Item, keyOf } from "./collections.ts";

function diffItems<K extends CollectionName>(before: Configuration, after: Configuration, name: K) {
    const old = new Map((before[name] as Item<K>[]).map(item => [keyOf(name, item), item]));
    const upserts: Item<K>[] = [];
    for (const item of after[name] as Item<K>[]) {
        const key = keyOf(name, item);
        if (!isDeepStrictEqual(old.get(key), item)) {
            upserts.push(item);
        }
        old.delete(key);
    }
    return { upserts, removals: [...old.keys()] };
}

/** Returns the change from `before` to `after`, or undefined when they are equal apart from the version. */
export function diffConfigurations(before: Configuration, after: Configuration): Change | undefined {
    const upserts: Record<string, unknown> = {};
    const removals: Record<string, string[]> = {};
    for (const name of collectionNames) {
        const items = diffItems(before, after, name);
        if (items.upserts.length > 0) {
            upserts[name] = items.upserts;
        }
        if (items.removals.length > 0) {
            removals[name] = items.removals;
        }
    }
    const change: Change = {
        ...(before.region === after.region ? {} : { region: after.region }),
        ...(before.costWeight === after.costWeight ? {} : { costWeight: after.costWeight }),
        ...(Object.keys(upserts).length === 0 ? {} : { upserts }),
        ...(Object.keys(removals).length === 0 ? {} : { removals }),
    };
    return Object.keys(change).length === 0 ? undefined : change;
}
