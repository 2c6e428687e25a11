import type { Member, Membership, StoredState, Write } from "./types.ts";

/** Signals at start that the storage contains less than the node had synced. */
export class StorageRollbackError extends Error {
    constructor(readonly lastIndex: number, readonly commitIndex: number) {
        super(
            `stored log ends at ${lastIndex}, below the stored commit index ${commitIndex}; `
                + "remove the data folder and rejoin with a new identity",
        );
        this.name = "StorageRollbackError";
    }
}

function emptyState(membership: Membership): StoredState {
    return {
        term: 0,
        votedFor: undefined,
        commitIndex: 0,
        snapshot: { index: 0, term: 0, membership, state: "" },
        base: { index: 0, term: 0 },
        entries: [],
    };
}

/** Returns the initial state of a voter that founds a group. All founders must be given the same members. */
export function foundingState(members: readonly Omit<Member, "voter">[]): StoredState {
    return emptyState({ members: members.map(member => ({ ...member, voter: true })), retired: [] });
}

/** Returns the initial state of a new identity that waits to be added to a group. */
export function joiningState(): StoredState {
    return emptyState({ members: [], retired: [] });
}

/** Returns the stored state after one write. This function defines the meaning of each write. */
export function applyWrite(stored: StoredState, write: Write): StoredState {
    switch (write.type) {
        case "save-state":
            return { ...stored, term: write.term, votedFor: write.votedFor, commitIndex: write.commitIndex };
        case "append": {
            const from = write.entries[0]?.index ?? Infinity;
            return { ...stored, entries: [...stored.entries.filter(entry => entry.index < from), ...write.entries] };
        }
        case "save-snapshot": {
            const entries = write.keepLog ? stored.entries.filter(entry => entry.index > write.base.index) : [];
            const commitIndex = Math.max(stored.commitIndex, write.snapshot.index);
            return { ...stored, commitIndex, snapshot: write.snapshot, base: write.base, entries };
        }
    }
}
