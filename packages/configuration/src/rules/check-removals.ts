import type { Configuration, HandOverKind } from "../schema/index.ts";
import { findItem } from "./listed-items.ts";

/**
 * Returns one message for each item that the proposal removes while its hand-over is in progress. Such an item would
 * get no tombstone, so a later proposal could reuse its id.
 */
export function checkRemovals(
    openHandOvers: readonly { kind: HandOverKind; id: string; }[],
    proposed: Configuration,
): string[] {
    return openHandOvers
        .filter(({ kind, id }) => findItem(proposed, kind, id) === undefined)
        .map(({ kind, id }) => `${kind} "${id}" is being handed over and cannot be removed`);
}
