import type { Membership, StoredState } from "@lentilramp/agreement";
import type { GroupState, Slot } from "./agreement-state.ts";
import { describeEntry, InvariantViolation } from "./history.ts";

/** The loss of the power of all members and of one disk at once, which may happen in any state. */
export interface PowerLoss {
    /** Member that stops as planned: it ends for good once its own log says that it has no vote. */
    readonly stopping?: string;
    /** Member whose disk was lost at the end of the prefix. */
    readonly absent?: string;
    /** Member that replaces it; the next disk is lost only once it has its vote. */
    readonly successor?: string;
}

const names = {
    decides: "after a loss of power and of a disk the members can elect a leader",
    kept: "after a loss of power and of a disk each possible leader holds all committed entries",
} as const;

export const powerLossInvariants: readonly string[] = Object.values(names);

function newestMembership({ entries, snapshot }: StoredState): Membership {
    for (let i = entries.length - 1; i >= 0; i--) {
        const content = entries[i]?.content;
        if (content?.kind === "membership") {
            return content.membership;
        }
    }
    return snapshot.membership;
}

function lastPosition({ entries, snapshot }: StoredState): { index: number; term: number; } {
    return entries[entries.length - 1] ?? snapshot;
}

function isVoter(membership: Membership, id: string): boolean {
    return membership.members.some(member => member.id === id && member.voter);
}

/** Whether all members have power again and one of them would be elected by those that are left. */
function canWin(candidate: Slot, left: readonly Slot[]): boolean {
    const { members } = newestMembership(candidate.durable);
    const voters = members.filter(({ voter }) => voter);
    const own = lastPosition(candidate.durable);
    const granting = left.filter(({ id, durable }) => {
        const { index, term } = lastPosition(durable);
        return voters.some(voter => voter.id === id) && (own.term > term || own.term === term && own.index >= index);
    });
    return voters.some(({ id }) => id === candidate.id) && granting.length * 2 > voters.length;
}

function holdsAll({ durable }: Slot, committed: readonly string[]): boolean {
    return committed.every((text, i) => {
        const entry = durable.entries[i - durable.base.index];
        return i + 1 <= durable.snapshot.index || entry !== undefined && describeEntry(entry) === text;
    });
}

function isGone({ id, node }: Slot, { stopping, absent }: PowerLoss): boolean {
    return id === absent || id === stopping && !isVoter(node.membership, id);
}

/** Checks what is left if all members lose power now and any one of them also its disk. */
export function checkPowerLoss(state: GroupState, settings: PowerLoss): void {
    const { successor } = settings;
    const bearsLoss = successor === undefined
        || state.committed.some(text => new RegExp(`[:,]${successor}(,|$)`).test(text));
    const present = state.slots.filter(slot => !isGone(slot, settings));
    const losses = bearsLoss ? [undefined, ...present] : [undefined];
    for (const lost of losses) {
        const left = present.filter(slot => slot !== lost);
        const candidates = left.filter(slot => canWin(slot, left));
        const what = `lost ${lost?.id ?? "none"}, left ${left.map(({ id }) => id).join(" ")}`;
        if (candidates.length === 0) {
            throw new InvariantViolation(names.decides, what);
        }
        const behind = candidates.find(slot => !holdsAll(slot, state.committed));
        if (behind !== undefined) {
            throw new InvariantViolation(
                names.kept,
                `${what}: ${behind.id} lacks some of ${state.committed.join(" ")}`,
            );
        }
    }
}
