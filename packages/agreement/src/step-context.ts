import { entriesBetween, entryAt, entryChars, lastIndex, membershipAt } from "./log.ts";
import { isVoter } from "./membership.ts";
import type { Message } from "./messages.ts";
import type { AgreementOptions } from "./options.ts";
import type { Rule } from "./rules.ts";
import type { NodeState } from "./state.ts";
import type { Effect, Entry, NodeId, RefusalReason, Role, Write } from "./types.ts";

/** Signals that a node would have to undo a committed entry, which means that the group has lost synced data. */
export class SafetyError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "SafetyError";
    }
}

type WithoutSequence<T> = T extends Write ? Omit<T, "sequence"> : never;
type WithoutHeader<T> = T extends Message ? Omit<T, "from" | "to" | "term"> : never;

/** The state and dependencies of one step of a node, and the effects that the step has produced so far. */
export class StepContext {
    readonly effects: Effect[] = [];
    private readonly requiredSequenceAtStart: number;

    constructor(
        readonly id: NodeId,
        readonly state: NodeState,
        readonly options: AgreementOptions,
        readonly enforces: (rule: Rule) => boolean,
        private readonly random: () => number,
    ) {
        this.requiredSequenceAtStart = state.requiredSequence;
    }

    get now(): number {
        return this.state.now;
    }

    get isVoter(): boolean {
        return isVoter(this.state.membership, this.id);
    }

    /** Returns the effects of the step, with a sync at the end when the step made a write on which replies depend. */
    finish(): Effect[] {
        if (this.state.requiredSequence !== this.requiredSequenceAtStart) {
            this.effects.push({ type: "sync", sequence: this.state.writeSequence });
        }
        return this.effects;
    }

    /** Returns the instant of the first campaign after a start without a lease: within one heartbeat interval. */
    randomStartDeadline(): number {
        return this.now + this.random() * this.options.heartbeatMs;
    }

    randomElectionDeadline(): number {
        const { electionTimeoutMinMs: min, electionTimeoutMaxMs: max } = this.options;
        return this.now + min + this.random() * (max - min);
    }

    /**
     * Returns the instant at which an unsuccessful campaign is repeated: after one to two heartbeat intervals, then
     * after twice the previous interval, up to the election timeout. Waiting for a whole election timeout after a
     * lost vote message or a split vote left a group without a leader for up to 1,970 ms at 5 ms link delay and 5%
     * message loss.
     */
    campaignDeadline(): number {
        const { heartbeatMs, electionTimeoutMinMs: min, electionTimeoutMaxMs: max } = this.options;
        const baseDelayMs = Math.min(heartbeatMs * 2 ** (this.state.campaignCount - 1), min);
        return this.now + baseDelayMs * (1 + this.random() * Math.max(1, max / min - 1));
    }

    send(to: NodeId, body: WithoutHeader<Message>): void {
        this.effects.push({ type: "send", message: this.addHeader(to, body) });
    }

    /** Sends a message once all writes so far on which replies depend are durable. */
    sendAfterSync(to: NodeId, body: WithoutHeader<Message>): void {
        const { requiredSequence, syncedSequence, deferredMessages } = this.state;
        if (syncedSequence >= requiredSequence || !this.enforces("reply-after-sync")) {
            this.send(to, body);
        }
        else {
            // A newer reply replaces an older one that waits for the same sync. Otherwise the list would grow with
            // each heartbeat while the disk is slow.
            this.state.deferredMessages = deferredMessages.filter(({ sequence, message }) =>
                sequence !== requiredSequence || message.to !== to || message.type !== body.type
            );
            this.state.deferredMessages.push({ sequence: requiredSequence, message: this.addHeader(to, body) });
        }
    }

    refuse(id: string, reason: RefusalReason): void {
        this.effects.push({ type: "refused", id, reason, leader: this.state.leader });
    }

    write(write: WithoutSequence<Write>, requiredBeforeReply: boolean): void {
        const sequence = ++this.state.writeSequence;
        if (requiredBeforeReply) {
            this.state.requiredSequence = sequence;
        }
        this.effects.push({ ...write, sequence } as Write);
    }

    /** Saves term, vote and commit index. Replies depend on the term and the vote, but not on the commit index. */
    saveState(requiredBeforeReply: boolean): void {
        const { term, votedFor, commitIndex } = this.state;
        this.write({ type: "save-state", term, votedFor, commitIndex }, requiredBeforeReply);
    }

    /** Replaces the log from the index of the first given entry on. */
    appendEntries(entries: readonly Entry[]): void {
        const { state } = this;
        const first = entries[0];
        if (first === undefined) {
            return;
        }
        if (first.index <= state.commitIndex) {
            throw new SafetyError(
                `${this.id} cannot replace entry ${first.index}, entries up to ${state.commitIndex} are committed`,
            );
        }
        state.entries = [...entriesBetween(state, 0, first.index - 1), ...entries];
        this.write({ type: "append", entries }, true);
        state.durableIndex = Math.min(state.durableIndex, first.index - 1);
        state.unsyncedWrites = state.unsyncedWrites.map(({ sequence, index }) => ({
            sequence,
            index: Math.min(index, first.index - 1),
        }));
        state.unsyncedWrites.push({ sequence: state.writeSequence, index: lastIndex(state) });
        this.refreshMembership();
    }

    refreshMembership(): void {
        const { membership, index } = membershipAt(this.state, lastIndex(this.state));
        this.state.membership = membership;
        this.state.membershipIndex = index;
    }

    setRole(role: Role, leader: NodeId | undefined): void {
        const { state } = this;
        if (state.role !== role || state.leader !== leader) {
            state.role = role;
            state.leader = leader;
            this.effects.push({ type: "role", role, term: state.term, leader });
        }
    }

    setLease(until: number | undefined): void {
        if (this.state.leaseUntil !== until) {
            this.state.leaseUntil = until;
            this.effects.push({ type: "lease", until });
        }
    }

    /** Raises the commit index to `index` and applies the newly committed entries to the state machine. */
    commitTo(index: number): void {
        const { state } = this;
        if (index <= state.commitIndex) {
            return;
        }
        const entries = entriesBetween(state, state.commitIndex + 1, index);
        if (entries.length !== index - state.commitIndex) {
            const entryIndices = state.entries.map(entry => entry.index);
            throw new SafetyError(
                `${this.id} cannot commit up to ${index}, entries are missing: commit index ${state.commitIndex}, `
                    + `base index ${state.base.index}, snapshot index ${state.snapshot.index}, `
                    + `log has ${entryIndices.length} entries from ${entryIndices[0]} to ${entryIndices.at(-1)}`,
            );
        }
        state.commitIndex = index;
        this.saveState(false);
        this.effects.push({ type: "apply", entries });
        state.charsSinceSnapshot += entries.reduce((sum, entry) => sum + entryChars(entry), 0);
        if (this.isSnapshotDue(index)) {
            state.requestedSnapshotIndex = index;
            state.charsSinceSnapshot = 0;
            this.effects.push({ type: "snapshot-due", index });
        }
    }

    private isSnapshotDue(index: number): boolean {
        const { state, options } = this;
        const dueChars = Math.max(options.snapshotIntervalChars, state.snapshot.state.length);
        return index - state.requestedSnapshotIndex >= options.snapshotIntervalEntries
            || state.charsSinceSnapshot >= dueChars;
    }

    hasEntry(index: number): boolean {
        return entryAt(this.state, index) !== undefined;
    }

    private addHeader(to: NodeId, body: WithoutHeader<Message>): Message {
        return { ...body, from: this.id, to, term: this.state.term } as Message;
    }
}
