import type { MemberTable } from "./member-table.ts";
import { isLive, type Update } from "./member.ts";
import { updateBytes } from "./update-codec.ts";

/** Returns the index of the first id greater than `id` in sorted `ids`. */
function indexAfter(ids: readonly string[], id: string): number {
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
 * Returns a page of the live members whose ids follow `afterId`, up to `maxBytes`, and the last id of the page, or ""
 * when the page is the last one.
 */
export function buildMemberPage(
    table: MemberTable,
    afterId: string,
    maxBytes: number,
): { updates: Update[]; lastId: string; } {
    const ids = table.sortedIds();
    const updates: Update[] = [];
    let bytes = 0;
    for (let index = indexAfter(ids, afterId); index < ids.length; index++) {
        const member = table.get(ids[index] as string);
        if (member === undefined || !isLive(member.status)) {
            continue;
        }
        const { id, incarnation, host, port } = member;
        const update: Update = { id, status: "alive", incarnation, address: { host, port } };
        bytes += updateBytes(update);
        if (bytes > maxBytes) {
            return { updates, lastId: updates.at(-1)?.id ?? "" };
        }
        updates.push(update);
    }
    return { updates, lastId: "" };
}
