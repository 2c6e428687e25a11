import type { MemberTable } from "./member-table.ts";
import { type Member, supersedes, type Update } from "./member.ts";
import { updateBytes } from "./update-codec.ts";
import type { UpdateQueue } from "./update-queue.ts";

/** Returns what is held about a member as news to pass on; only `alive` carries the address. */
export function asUpdate({ id, status, incarnation, host, port }: Member): Update {
    return status === "alive" ? { id, status, incarnation, address: { host, port } } : { id, status, incarnation };
}

/**
 * Returns what is held about members of which the sender has older, unfavourable news. Gossip alone does not reach
 * every node; one that missed a refutation is corrected here when it passes the suspicion on.
 */
export function corrections(table: MemberTable, updates: readonly Update[]): Update[] {
    return updates.flatMap(update => {
        const held = table.get(update.id);
        return held === undefined || update.status === "alive" || !supersedes(held, update) ? [] : [asUpdate(held)];
    });
}

/** Returns the updates of one datagram: `first` as far as they fit, then queued ones sent at most `limit` times. */
export function piggyback(
    queue: UpdateQueue | undefined,
    first: readonly Update[],
    maxBytes: number,
    limit: number,
): Update[] {
    let budget = maxBytes;
    const fitting = first.filter(update => {
        const bytes = updateBytes(update);
        const fits = bytes <= budget;
        budget -= fits ? bytes : 0;
        return fits;
    });
    return [...fitting, ...(queue?.take(budget, limit) ?? [])];
}
