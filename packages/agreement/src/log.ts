import type { NodeState } from "./state.ts";
import type { Entry, Membership } from "./types.ts";

type LogView = Pick<NodeState, "entries" | "base" | "snapshot">;

export function lastIndex(log: LogView): number {
    return log.entries[log.entries.length - 1]?.index ?? Math.max(log.base.index, log.snapshot.index);
}

export function entryAt(log: LogView, index: number): Entry | undefined {
    return log.entries[index - log.base.index - 1];
}

/** Returns the term of the entry at `index`, or undefined when neither the log nor the snapshot position covers it. */
export function termAt(log: LogView, index: number): number | undefined {
    if (index === log.base.index) {
        return log.base.term;
    }
    if (index === log.snapshot.index) {
        return log.snapshot.term;
    }
    return entryAt(log, index)?.term;
}

export function lastTerm(log: LogView): number {
    return termAt(log, lastIndex(log)) ?? 0;
}

/** Returns the entries with `from <= index <= to`. */
export function entriesBetween(log: LogView, from: number, to: number): Entry[] {
    return log.entries.slice(Math.max(0, from - log.base.index - 1), Math.max(0, to - log.base.index));
}

/** Returns the number of characters of an entry's command. */
export function entryChars({ content }: Entry): number {
    return content.kind === "command" ? content.command.length : 0;
}

/** Returns the newest membership at or before `index`, and the index of its entry or snapshot. */
export function membershipAt(log: LogView, index: number): { membership: Membership; index: number; } {
    for (const entry of entriesBetween(log, log.snapshot.index + 1, index).reverse()) {
        if (entry.content.kind === "membership") {
            return { membership: entry.content.membership, index: entry.index };
        }
    }
    return { membership: log.snapshot.membership, index: log.snapshot.index };
}
