import type { Configuration, HandOverKind } from "../schema/index.ts";
import { findItem } from "./listed-items.ts";

/**
 * Returns one message for each item that the proposal removes while its hand-over is in progress. A hand-over must end
 * in a tombstone, else the id could come back.
 */
export function checkRemovals(
    openHandOvers: readonly { kind: HandOverKind; id: string; }[],
    proposed: Configuration,
): string[] {
    return openHandOvers
        .filter(({ kind, id }) => findItem(proposed, kind, id) === undefined)
        .map(({ kind, id }) => `${kind} "${id}" is being handed over and cannot be removed`);
}
