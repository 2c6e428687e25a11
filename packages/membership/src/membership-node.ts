import type { RandomSource } from "@lentilramp/runtime";
import { CandidateList } from "./candidates.ts";
import { Joiner } from "./joiner.ts";
import { LocalHealth } from "./local-health.ts";
import { buildMemberPage } from "./member-pages.ts";
import { MemberTable } from "./member-table.ts";
import { type Address, type Candidate, isLive, type Member, type MemberStatus, type Update } from "./member.ts";
import type { Message } from "./message.ts";
import { type MembershipOptionsInput, membershipOptionsSchema } from "./options.ts";
import { OwnState } from "./own-state.ts";
import { findCorrections, selectUpdates, toUpdate } from "./piggyback.ts";
import { ProbeOrder } from "./probe-order.ts";
import { Prober } from "./prober.ts";
import { RelayedProbes } from "./relayed-probes.ts";
import { SuspicionTimers } from "./suspicions.ts";
import { UpdateQueue } from "./update-queue.ts";

export type MembershipInput =
    /** The time returned by `nextDueAt` was reached. */
    | { kind: "tick"; }
    | { kind: "message"; message: Message; from: Address; }
    /** The platform's list of instances. */
    | { kind: "candidates"; list: readonly Candidate[]; }
    /** The process drains. The node announces to other members that it leaves. */
    | { kind: "leave"; };

export type MembershipEffect =
    | { kind: "send"; to: Address; message: Message; }
    /** The status of a member changed. `previous` is undefined for a new member. */
    | { kind: "changed"; id: string; status: MemberStatus; previous: MemberStatus | undefined; };

export interface LocalMember extends Address {
    id: string;
    /** Greater than in earlier runs of the process, for example its start time. */
    incarnation: number;
}

/** Fields of a message that depend on its kind. */
type MessageContent =
    | { kind: "ping" | "ack" | "nack"; seq: number; }
    | { kind: "ping-req" | "pull"; seq: number; target: string; };

/** Fraction of the probe timeout after which a helper without an answer sends a nack. */
const nackFraction = 0.8;

/**
 * Failure detection among entry instances: SWIM with suspicion, and Lifeguard's local health multiplier and nacks.
 * `step` does no I/O; the caller sends the messages and calls `step` again at `nextDueAt`.
 */
export class MembershipNode {
    private readonly options;
    private readonly table = new MemberTable();
    private readonly updateQueue = new UpdateQueue();
    private readonly suspicionTimers = new SuspicionTimers();
    private readonly relayedProbes = new RelayedProbes();
    private readonly health: LocalHealth;
    private readonly prober: Prober;
    private readonly probeOrder: ProbeOrder;
    private readonly candidates: CandidateList;
    private effects: MembershipEffect[] = [];
    private readonly own: OwnState;
    private lastSeq = 0;
    private readonly joiner: Joiner;
    private nextCandidateAt: number;
    /** Time at which updates are sent although no probe is due; see `gossip`. */
    private nextGossipAt = Number.POSITIVE_INFINITY;

    constructor(
        private readonly self: LocalMember,
        private readonly random: RandomSource,
        now: number,
        options: MembershipOptionsInput = {},
    ) {
        this.options = membershipOptionsSchema.parse(options);
        this.own = new OwnState(self);
        this.health = new LocalHealth(this.options.maxLocalHealth);
        // A random delay before the first probe spreads the probes of processes that start together.
        this.prober = new Prober(this.options, this.health, now + random.next() * this.options.probeIntervalMs);
        this.probeOrder = new ProbeOrder(random);
        this.candidates = new CandidateList(self.id, random);
        this.joiner = new Joiner(2 * this.options.probeTimeoutMs, now);
        this.nextCandidateAt = now + random.next() * this.options.candidateIntervalMs;
        this.updateQueue.add(this.own.update());
    }

    /** Returns the members that are alive or suspect, without the node itself. */
    liveMembers(): Member[] {
        return [...this.table.values()].filter(({ status }) => isLive(status));
    }

    member(id: string): Member | undefined {
        return this.table.get(id);
    }

    /** Whether the node has received all pages of the member list. */
    get isJoined(): boolean {
        return this.joiner.isJoined;
    }

    /** Returns the time at which `step` must be called even if no message arrives. */
    nextDueAt(): number {
        const pullAt = this.candidates.size === 0 ? Number.POSITIVE_INFINITY : this.joiner.nextDueAt();
        return Math.min(
            this.prober.nextDueAt(),
            this.suspicionTimers.nextDueAt(),
            this.relayedProbes.nextDueAt(),
            this.updateQueue.size > 0 ? this.nextGossipAt : Number.POSITIVE_INFINITY,
            pullAt,
        );
    }

    step(input: MembershipInput, now: number): MembershipEffect[] {
        this.effects = [];
        switch (input.kind) {
            case "tick":
                break;
            case "message":
                this.onMessage(input.message, input.from, now);
                break;
            case "candidates":
                this.candidates.replace(input.list, this.table);
                break;
            case "leave":
                this.onLeave();
                break;
        }
        this.processDueWork(now);
        return this.effects;
    }

    /** Returns the state for the state dump. */
    dump(): Record<string, unknown> {
        const counts: Record<string, number> = { alive: 0, suspect: 0, dead: 0, left: 0 };
        for (const { status } of this.table.values()) {
            counts[status] = (counts[status] ?? 0) + 1;
        }
        const { incarnation, hasLeft } = this.own;
        const { isJoined: joined } = this;
        const localHealth = this.health.multiplier;
        return {
            id: this.self.id,
            incarnation,
            joined,
            hasLeft,
            localHealth,
            queued: this.updateQueue.size,
            ...counts,
        };
    }

    private processDueWork(now: number): void {
        const due = this.suspicionTimers.takeDue(now);
        // The ack contains the newest incarnation, in case the member's refutation has not reached this node.
        due.toRecheck.forEach(id => this.sendTo(id, { kind: "ping", seq: ++this.lastSeq }));
        for (const id of due.expired) {
            const member = this.table.get(id);
            if (member?.status === "suspect") {
                this.merge({ id, status: "dead", incarnation: member.incarnation }, now, true);
            }
        }
        for (const { origin, originSeq } of this.relayedProbes.takeUnanswered(now)) {
            this.sendTo(origin, { kind: "nack", seq: originSeq });
        }
        for (const action of this.prober.step(now)) {
            switch (action.kind) {
                case "indirect":
                    this.probeIndirectly(action.target, action.seq);
                    break;
                case "failed":
                    this.suspect(action.target, now);
                    break;
                case "next":
                    this.startProbe(now);
                    break;
            }
        }
        if (now >= this.nextGossipAt) {
            this.gossip(now);
        }
        const pageRequest = this.candidates.size > 0 ? this.joiner.step(now) : undefined;
        const pageSource = pageRequest === undefined ? undefined : this.candidates.sample();
        if (pageRequest !== undefined && pageSource !== undefined) {
            this.send(pageSource, { kind: "pull", seq: ++this.lastSeq, target: pageRequest.after }, undefined);
        }
    }

    /**
     * Sends queued updates to a random member when local health has lengthened the probe interval. Otherwise updates
     * would spread up to nine times slower, while suspicions still expired at the usual time.
     */
    private gossip(now: number): void {
        this.nextGossipAt = now + this.options.probeIntervalMs;
        const [member] = this.updateQueue.size > 0 ? this.random.sample(this.liveMembers(), 1) : [];
        if (member !== undefined) {
            this.send(member, { kind: "ping", seq: ++this.lastSeq }, member);
        }
    }

    private startProbe(now: number): void {
        // Later than the next probe at the usual interval, so that gossip is only sent when the interval is longer.
        this.nextGossipAt = now + 1.1 * this.options.probeIntervalMs;
        if (this.own.hasLeft) {
            // A probe from a node that has left would announce it as alive to members without a record of it.
            this.prober.start(undefined, 0, now);
            return;
        }
        const isProbeable = (id: string) => isLive(this.table.get(id)?.status ?? "dead");
        const target = this.probeOrder.next(isProbeable);
        this.prober.start(target, ++this.lastSeq, now);
        if (target !== undefined) {
            this.sendTo(target, { kind: "ping", seq: this.lastSeq });
        }
        const isCandidateDue = now >= this.nextCandidateAt;
        if (isCandidateDue) {
            this.nextCandidateAt = now + this.options.candidateIntervalMs;
            this.table.removeNotLive(now - this.options.forgetAfterMs);
        }
        const candidate = this.candidates.takeUntried(this.table)
            ?? (isCandidateDue ? this.candidates.sampleNotLive(this.table) : undefined);
        if (candidate !== undefined) {
            this.send(candidate, { kind: "ping", seq: ++this.lastSeq }, this.table.get(candidate.id));
        }
    }

    /** Asks helpers to ping the target and pings it again, since the first ping or its ack may have been lost. */
    private probeIndirectly(target: string, seq: number): void {
        const helpers = this.random.sample(
            this.liveMembers().filter(({ id, status }) => id !== target && status === "alive"),
            this.options.indirectProbes,
        );
        this.prober.onHelpersAsked(helpers.length);
        helpers.forEach(helper => this.send(helper, { kind: "ping-req", seq, target }, helper));
        this.sendTo(target, { kind: "ping", seq });
    }

    private suspect(id: string, now: number): void {
        const member = this.table.get(id);
        if (member?.status === "alive") {
            this.merge({ id, status: "suspect", incarnation: member.incarnation }, now, true);
            // Sends the suspicion to the member at once, so that its refutation starts before the suspicion has spread.
            this.sendTo(id, { kind: "ping", seq: ++this.lastSeq });
        }
    }

    private onLeave(): void {
        if (this.own.hasLeft) {
            return;
        }
        this.own.leave();
        this.updateQueue.add(this.own.update());
        for (const member of this.random.sample(this.liveMembers(), this.options.indirectProbes)) {
            this.send(member, { kind: "ping", seq: ++this.lastSeq }, member);
        }
    }

    private onMessage(message: Message, from: Address, now: number): void {
        const sender = message.from;
        if (sender === this.self.id) {
            return;
        }
        if (!message.updates.some(update => update.id === sender && update.status === "left")) {
            this.merge({ id: sender, status: "alive", incarnation: message.incarnation, address: from }, now, true);
        }
        // The other members already have the updates of a page; disseminating them again would only cost bandwidth.
        message.updates.forEach(update => this.merge(update, now, message.kind !== "page"));
        this.reply(message, from, now);
    }

    private reply(message: Message, from: Address, now: number): void {
        const { seq } = message;
        switch (message.kind) {
            case "ping":
                this.send(
                    from,
                    { kind: "ack", seq },
                    this.table.get(message.from),
                    findCorrections(this.table, message.updates),
                );
                break;
            case "ack":
                this.onAck(seq);
                break;
            case "nack":
                this.prober.onNack(seq);
                break;
            case "ping-req":
                this.relayedProbes.start(++this.lastSeq, {
                    origin: message.from,
                    originSeq: seq,
                    nackAt: now + nackFraction * this.options.probeTimeoutMs,
                });
                this.sendTo(message.target, { kind: "ping", seq: this.lastSeq });
                break;
            case "pull": {
                const { updates, lastId } = buildMemberPage(
                    this.table,
                    message.target,
                    this.options.maxPageBytes,
                );
                this.emitSend(from, { ...this.header(seq, updates), kind: "page", target: lastId });
                break;
            }
            case "page":
                this.joiner.onPage(message.target, now);
                break;
        }
    }

    private onAck(seq: number): void {
        this.prober.onAck(seq);
        const relayedProbe = this.relayedProbes.takeAnswered(seq);
        if (relayedProbe !== undefined) {
            this.sendTo(relayedProbe.origin, { kind: "ack", seq: relayedProbe.originSeq });
        }
    }

    /** Applies an update about a member. `disseminate` tells whether to piggyback the update on further messages. */
    private merge(update: Update, now: number, disseminate: boolean): void {
        if (update.id === this.self.id) {
            this.refute(update);
            return;
        }
        const merged = this.table.merge(update, now);
        if (merged === undefined) {
            return;
        }
        const { member, previous } = merged;
        const { id, status } = member;
        if (disseminate) {
            this.updateQueue.add(toUpdate(member));
        }
        if (isLive(status) && !(previous !== undefined && isLive(previous))) {
            member.leaving = this.candidates.isLeaving(id);
            this.probeOrder.add(id);
        }
        this.suspicionTimers.cancel(id);
        if (status === "suspect") {
            const { suspicionFactor, probeIntervalMs } = this.options;
            this.suspicionTimers.start(id, now, suspicionFactor * probeIntervalMs * this.sizeFactor());
        }
        if (status !== previous) {
            this.effects.push({ kind: "changed", id, status, previous });
        }
    }

    private refute(update: Update): void {
        const refuted = this.own.refute(update);
        if (refuted === "status") {
            this.health.onRefuted();
        }
        if (refuted !== undefined) {
            this.updateQueue.add(this.own.update());
        }
    }

    /** Factor for suspicion durations and retransmissions: the logarithm of the number of members, at least 1. */
    private sizeFactor(): number {
        return Math.max(1, Math.log10(this.table.liveSize + 1));
    }

    private header(seq: number, updates: Update[]) {
        return { from: this.self.id, incarnation: this.own.incarnation, seq, updates };
    }

    private sendTo(id: string, content: MessageContent): void {
        const member = this.table.get(id);
        if (member !== undefined) {
            this.send(member, content, member);
        }
    }

    /**
     * Sends a message with piggybacked updates. `receiver` is the table entry of the receiver, if any;
     * `priorityUpdates` are sent before the queued updates.
     */
    private send(
        to: Address,
        content: MessageContent,
        receiver: Member | undefined,
        priorityUpdates: readonly Update[] = [],
    ): void {
        // A receiver whose status is not alive gets an update with that status, so that it can refute the update.
        const receiverUpdates = receiver === undefined || receiver.status === "alive" ? [] : [toUpdate(receiver)];
        const selfUpdates = this.own.hasLeft ? [this.own.update()] : [];
        const maxSends = Math.ceil(this.options.retransmitFactor * this.sizeFactor());
        const orderedUpdates = [...receiverUpdates, ...selfUpdates, ...priorityUpdates];
        // Queued updates are not sent to a member that may be dead: they would count as sent without being received.
        const queue = receiver?.status === "alive" ? this.updateQueue : undefined;
        const updates = selectUpdates(queue, orderedUpdates, this.options.maxPiggybackBytes, maxSends);
        this.emitSend({ host: to.host, port: to.port }, { ...this.header(content.seq, updates), ...content });
    }

    private emitSend(to: Address, message: Message): void {
        this.effects.push({ kind: "send", to, message });
    }
}
