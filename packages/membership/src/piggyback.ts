import type { MemberTable } from "./member-table.ts";
import { type Member, supersedes, type Update } from "./member.ts";
import { updateBytes } from "./update-codec.ts";
import type { UpdateQueue } from "./update-queue.ts";

/** Converts the state of a member to an update. Only an update with status `alive` contains the address. */
export function toUpdate({ id, status, incarnation, host, port }: Member): Update {
    return status === "alive" ? { id, status, incarnation, address: { host, port } } : { id, status, incarnation };
}

/**
 * Returns the stored state of members about which the sender has sent an outdated update with a status other than
 * `alive`. Gossip alone does not reach every node; this corrects a node that missed a refutation and still
 * disseminates the suspicion.
 */
export function findCorrections(table: MemberTable, updates: readonly Update[]): Update[] {
    return updates.flatMap(update => {
        const existing = table.get(update.id);
        return existing === undefined || update.status === "alive" || !supersedes(existing, update)
            ? []
            : [toUpdate(existing)];
    });
}

/**
 * Returns the updates for one datagram: those of `priorityUpdates` that fit into `maxBytes`, then queued ones. A queued
 * update is sent at most `maxSends` times in total.
 */
export function selectUpdates(
    queue: UpdateQueue | undefined,
    priorityUpdates: readonly Update[],
    maxBytes: number,
    maxSends: number,
): Update[] {
    let remainingBytes = maxBytes;
    const fitting = priorityUpdates.filter(update => {
        const bytes = updateBytes(update);
        const fits = bytes <= remainingBytes;
        remainingBytes -= fits ? bytes : 0;
        return fits;
    });
    return [...fitting, ...(queue?.take(remainingBytes, maxSends) ?? [])];
}
