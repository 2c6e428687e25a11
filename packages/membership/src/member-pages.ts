import type { MemberTable } from "./member-table.ts";
import { isLive, type Update } from "./member.ts";
import { updateBytes } from "./update-codec.ts";

/** Position of the first id after `id` in ascending order. */
function positionAfter(ids: readonly string[], id: string): number {
    let low = 0;
    let high = ids.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if ((ids[middle] as string) <= id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/**
 * Returns the live members whose ids follow `after`, up to `maxBytes`, and the last id of the page; "" when no more
 * follow.
 */
export function memberPage(table: MemberTable, after: string, maxBytes: number): { updates: Update[]; last: string; } {
    const ids = table.sorted();
    const updates: Update[] = [];
    let bytes = 0;
    for (let position = positionAfter(ids, after); position < ids.length; position++) {
        const member = table.get(ids[position] as string);
        if (member === undefined || !isLive(member.status)) {
            continue;
        }
        const { id, incarnation, host, port } = member;
        const update: Update = { id, status: "alive", incarnation, address: { host, port } };
        bytes += updateBytes(update);
        if (bytes > maxBytes) {
            return { updates, last: updates.at(-1)?.id ?? "" };
        }
        updates.push(update);
    }
    return { updates, last: "" };
}
