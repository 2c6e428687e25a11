import type { Configuration } from "../schema/index.ts";

/** Functions that return the key of an item within its collection, by collection name. */
const itemKeys = {
    failureDomains: item => item.id,
    links: item => `${item.from}>${item.to}`,
    endpoints: item => item.id,
    services: item => item.name,
    models: item => item.name,
    workspaces: item => item.id,
    routes: item => item.name,
    claimGenerations: item => String(item.generation),
    entries: item => item.id,
    controlMembers: item => item.id,
    tombstones: item => `${item.kind}/${item.id}`,
} satisfies { [K in CollectionName]: (item: Configuration[K][number]) => string; };

/** Names of the configuration fields that are lists of keyed items. */
export type CollectionName = {
    [K in keyof Configuration]: Configuration[K] extends readonly unknown[] ? K : never;
}[keyof Configuration];
export type Item<K extends CollectionName> = Configuration[K][number];

export const collectionNames = Object.keys(itemKeys) as CollectionName[];

/** Returns the key of an item within its collection. */
export function keyOf<K extends CollectionName>(collection: K, item: Item<K>): string {
    return (itemKeys[collection] as (item: Item<K>) => string)(item);
}
