import type { Message, NodeState, StoredState, Write } from "@lentilramp/agreement";
import { type Hash, hashText, joinHashes } from "./hash.ts";

/** One member of a modelled group: its process and its disk. */
export interface Slot {
    readonly id: string;
    readonly node: NodeState;
    readonly durable: StoredState;
    /** Writes that are not durable yet, in order. */
    readonly pending: readonly Write[];
    readonly hash: Hash;
}

export interface Budget {
    readonly campaigns: number;
    readonly proposals: number;
    readonly crashes: number;
    readonly reads: number;
    readonly changes: number;
    readonly handOvers: number;
    /** Steps of real time; only timed models have any. */
    readonly time: number;
}

export interface GroupState {
    readonly slots: readonly Slot[];
    /** Every message sent so far by its text. Each can be delivered any number of times, or never. */
    readonly messages: ReadonlyMap<string, Message>;
    readonly messageHash: Hash;
    /** The committed entries as text, in order. */
    readonly committed: readonly string[];
    /** The term in which each of them was committed. */
    readonly committedIn: readonly number[];
    /** The leader of each term. */
    readonly leaders: ReadonlyMap<number, string>;
    /** For each open read, the number of entries committed when it was asked. */
    readonly reads: ReadonlyMap<string, number>;
    readonly budget: Budget;
    /** Real time, and the rate of each clock. */
    readonly time: number;
    readonly rates: readonly number[];
}

export function makeSlot(slot: Omit<Slot, "hash">): Slot {
    const { node } = slot;
    const text = JSON.stringify([
        slot.id,
        { ...node, peers: [...node.peers], votes: [...node.votes].sort() },
        slot.durable,
        slot.pending,
    ]);
    return { ...slot, hash: hashText(text) };
}

export function hashGroup(state: GroupState): Hash {
    const rest = JSON.stringify([
        state.committed,
        state.committedIn,
        [...state.leaders],
        [...state.reads],
        Object.values(state.budget),
        state.time,
        state.rates,
    ]);
    return joinHashes([...state.slots.map(slot => slot.hash), state.messageHash, hashText(rest)]);
}

/** True when delivering the message can have no effect now or later, so that it need not be kept. */
export function isDead(message: Message, to: Slot, timeless: boolean): boolean {
    const { node, durable } = to;
    // A crash can take a term back to the durable one.
    const settled = node.term === durable.term;
    switch (message.type) {
        case "vote-reply":
            return message.term < durable.term
                || (settled && message.term === node.term && (node.role !== "candidate" || !message.granted));
        case "pre-vote-reply":
            return message.term < durable.term && !message.granted;
        case "append-reply": {
            const peer = node.peers.get(message.from);
            return message.term < durable.term
                || (timeless && settled && message.term === node.term && peer !== undefined && message.ok
                    && message.index <= peer.matchIndex && message.round <= peer.lastAnsweredRound);
        }
        default:
            return false;
    }
}

export const noHash: Hash = { high: 0, low: 0 };

/** A node's view of itself in which no instant matters, for models without time. */
export function forgetTime(node: NodeState): void {
    const synced = node.syncedSequence;
    node.now = 0;
    node.lastLeaderContactAt = -stale;
    node.electionDeadline = stale;
    node.nextHeartbeatAt = stale;
    node.campaignCount = 0;
    for (const peer of node.peers.values()) {
        peer.lastReplyAt = 0;
        peer.lastAnsweredSentAt = -stale;
        peer.resendAt = -stale;
        peer.round = peer.round && { ...peer.round, startedAt: 0 };
    }
    shiftSequences(node, synced);
}

const stale = 1_000_000;

function shiftSequences(node: NodeState, by: number): void {
    node.writeSequence -= by;
    node.requiredSequence = Math.max(0, node.requiredSequence - by);
    node.ownVoteSequence = Math.max(0, node.ownVoteSequence - by);
    node.syncedSequence -= by;
    node.deferredMessages = node.deferredMessages.map(held => ({ ...held, sequence: held.sequence - by }));
    node.unsyncedWrites = node.unsyncedWrites.map(write => ({ ...write, sequence: write.sequence - by }));
}
