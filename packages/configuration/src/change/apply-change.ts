import type { Configuration } from "../schema/index.ts";
import type { Change } from "./change.ts";
import { type CollectionName, collectionNames, type Item, keyOf } from "./collections.ts";

function applyToCollection<K extends CollectionName>(configuration: Configuration, change: Change, name: K): Item<K>[] {
    const items = configuration[name] as readonly Item<K>[];
    const upserts = (change.upserts?.[name] ?? []) as readonly Item<K>[];
    const removals = change.removals?.[name] ?? [];
    if (upserts.length === 0 && removals.length === 0) {
        return items as Item<K>[];
    }
    const byKey = new Map(items.map(item => [keyOf(name, item), item]));
    removals.forEach(key => byKey.delete(key));
    upserts.forEach(item => byKey.set(keyOf(name, item), item));
    return [...byKey.values()];
}

/**
 * Returns the configuration after `change` with the given version, without modifying `configuration`. Replaced items
 * keep their position and new items are appended, so that all subscribers have the items in the same order.
 */
export function applyChange(configuration: Configuration, change: Change, version: number): Configuration {
    const lists = Object.fromEntries(
        collectionNames.map(name => [name, applyToCollection(configuration, change, name)]),
    );
    return {
        ...configuration,
        ...lists,
        region: change.region ?? configuration.region,
        costWeight: change.costWeight ?? configuration.costWeight,
        version,
    };
}
