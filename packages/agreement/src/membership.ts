import type { Membership, MembershipChange, NodeId, RefusalReason } from "./types.ts";

export function voterIds(membership: Membership): NodeId[] {
    return membership.members.filter(member => member.voter).map(member => member.id);
}

export function isVoter(membership: Membership, id: NodeId): boolean {
    return membership.members.some(member => member.id === id && member.voter);
}

export function isMember(membership: Membership, id: NodeId): boolean {
    return membership.members.some(member => member.id === id);
}

/** Whether the voters among `ids` form a majority. */
export function isQuorum(membership: Membership, ids: readonly NodeId[]): boolean {
    const voters = voterIds(membership);
    return voters.filter(id => ids.includes(id)).length * 2 > voters.length;
}

/** Returns the largest value that a majority of the voters has reached. */
export function quorumValue(membership: Membership, valueOf: (id: NodeId) => number): number {
    const values = voterIds(membership).map(valueOf).sort((a, b) => b - a);
    return values[Math.floor(values.length / 2)] ?? 0;
}

/** Returns the membership after a change, or the reason for which the change is refused. */
export function changeMembership(membership: Membership, change: MembershipChange): Membership | RefusalReason {
    const { members, retired } = membership;
    switch (change.kind) {
        case "add-learner": {
            if (isMember(membership, change.id) || retired.includes(change.id)) {
                return "invalid-change";
            }
            return { members: [...members, { id: change.id, address: change.address, voter: false }], retired };
        }
        case "promote": {
            if (!isMember(membership, change.id) || isVoter(membership, change.id)) {
                return "invalid-change";
            }
            return { members: members.map(m => m.id === change.id ? { ...m, voter: true } : m), retired };
        }
        case "demote": {
            const demoted = members.map(m => m.id === change.id ? { ...m, voter: false } : m);
            if (!isVoter(membership, change.id) || !demoted.some(member => member.voter)) {
                return "invalid-change";
            }
            return { members: demoted, retired };
        }
        case "remove": {
            const rest = members.filter(member => member.id !== change.id);
            if (rest.length === members.length || !rest.some(member => member.voter)) {
                return "invalid-change";
            }
            return { members: rest, retired: [...retired, change.id] };
        }
    }
}
