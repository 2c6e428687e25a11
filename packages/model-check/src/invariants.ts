import type { Entry, NodeState, Snapshot, StoredState } from "@lentilramp/agreement";
import type { GroupState, Slot } from "./agreement-state.ts";
import { describeEntry, InvariantViolation } from "./history.ts";

const names = {
    committed: "committed entries never change",
    complete: "a leader holds every entry committed in an earlier term",
    durable: "a committed entry is synced on a majority of the voters",
    leader: "one leader a term",
    read: "a read never returns an older state than one in force",
    lease: "a lease holder is alone and knows the newest commit",
    restore: "a restore never goes back and gives the committed state",
    error: "no step throws an error",
} as const;

export const invariantNames: readonly string[] = Object.values(names);

function textAt(node: Pick<StoredState, "entries" | "base">, index: number): string | undefined {
    const entry = node.entries[index - node.base.index - 1];
    return entry === undefined ? undefined : describeEntry(entry);
}

/** Records entries that a node applies. `acting` is its disk as of now; those of the others are in the state. */
export function checkCommit(
    state: GroupState,
    id: string,
    entries: readonly Entry[],
    node: NodeState,
    acting: Slot,
): GroupState {
    const committed = [...state.committed];
    const committedIn = [...state.committedIn];
    for (const entry of entries) {
        const text = describeEntry(entry);
        const known = committed[entry.index - 1];
        if (known !== undefined) {
            if (known !== text) {
                throw new InvariantViolation(names.committed, `${id} applies ${text} at ${entry.index}, not ${known}`);
            }
            continue;
        }
        committed.push(text);
        committedIn.push(node.term);
        const voters = node.membership.members.filter(member => member.voter);
        const holders = voters.filter(voter => {
            const slot = voter.id === id ? acting : state.slots.find(other => other.id === voter.id);
            const { durable } = slot as Slot;
            return durable.snapshot.index >= entry.index || textAt(durable, entry.index) === text;
        });
        if (holders.length * 2 <= voters.length) {
            const where = holders.map(voter => voter.id).join(", ");
            throw new InvariantViolation(names.durable, `${id} commits ${text} at ${entry.index}, synced on ${where}`);
        }
    }
    return { ...state, committed, committedIn };
}

export function checkLeader(state: GroupState, id: string, node: NodeState): GroupState {
    const other = state.leaders.get(node.term) ?? id;
    if (other !== id) {
        throw new InvariantViolation(names.leader, `${other} and ${id} lead term ${node.term}`);
    }
    for (let index = node.snapshot.index + 1; index <= state.committed.length; index++) {
        // A delayed vote can still elect a leader of a term that is already over.
        const earlier = (state.committedIn[index - 1] as number) < node.term;
        if (earlier && textAt(node, index) !== state.committed[index - 1]) {
            throw new InvariantViolation(names.complete, `${id} leads term ${node.term} without entry ${index}`);
        }
    }
    return { ...state, leaders: new Map([...state.leaders, [node.term, id] as const].sort(([a], [b]) => a - b)) };
}

export function checkRead(state: GroupState, id: string, read: string, index: number): GroupState {
    const atLeast = state.reads.get(read) ?? 0;
    if (index < atLeast) {
        throw new InvariantViolation(names.read, `${id} answers at ${index}; ${atLeast} was committed before the read`);
    }
    const reads = new Map(state.reads);
    reads.delete(read);
    return { ...state, reads };
}

export function checkRestore(state: GroupState, slot: Slot, snapshot: Snapshot): void {
    if (snapshot.index < slot.node.commitIndex) {
        throw new InvariantViolation(names.restore, `${slot.id} from ${slot.node.commitIndex} to ${snapshot.index}`);
    }
    if (snapshot.state !== state.committed.slice(0, snapshot.index).join(" ")) {
        throw new InvariantViolation(names.restore, `${slot.id} restores ${snapshot.state} at ${snapshot.index}`);
    }
}

export function checkLeases(state: GroupState, localTimes: readonly number[]): void {
    const holders = state.slots.filter(({ node }, i) =>
        node.role === "leader" && node.leaseUntil !== undefined && (localTimes[i] ?? 0) < node.leaseUntil
    );
    if (holders.length > 1) {
        throw new InvariantViolation(names.lease, `${holders.map(slot => slot.id).join(" and ")} hold a lease`);
    }
    const late = holders.find(({ node }) => node.commitIndex < state.committed.length);
    if (late !== undefined) {
        throw new InvariantViolation(
            names.lease,
            `${late.id} holds a lease at ${late.node.commitIndex}; ${state.committed.length} is committed`,
        );
    }
}
