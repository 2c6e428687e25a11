import type { Configuration } from "../schema/index.ts";
import { listedItems } from "./listed-items.ts";

/** Returns one message for each proposed item whose id belongs to a transferred item and so cannot be reused. */
export function checkTombstones(current: Configuration, proposed: Configuration): string[] {
    const transferred = new Set(current.tombstones.map(tombstone => `${tombstone.kind}/${tombstone.id}`));
    const problems: string[] = [];
    for (const kind of ["endpoint", "service", "workspace"] as const) {
        for (const { id } of listedItems(proposed, kind)) {
            if (transferred.has(`${kind}/${id}`)) {
                problems.push(`${kind} "${id}" was transferred and its id cannot be used again`);
            }
        }
    }
    return problems;
}
