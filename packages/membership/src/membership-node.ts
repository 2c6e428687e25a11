import type { RandomSource } from "@lentilramp/runtime";
import { Candidates } from "./candidates.ts";
import { Joiner } from "./joiner.ts";
import { LocalHealth } from "./local-health.ts";
import { memberPage } from "./member-pages.ts";
import { MemberTable } from "./member-table.ts";
import { type Address, type Candidate, isLive, type Member, type MemberStatus, type Update } from "./member.ts";
import type { Message } from "./message.ts";
import { type MembershipOptionsInput, membershipOptionsSchema } from "./options.ts";
import { asUpdate, corrections, piggyback } from "./piggyback.ts";
import { ProbeOrder } from "./probe-order.ts";
import { Prober } from "./prober.ts";
import { RelayedProbes } from "./relayed-probes.ts";
import { Suspicions } from "./suspicions.ts";
import { UpdateQueue } from "./update-queue.ts";

export type MembershipInput =
    /** The instant of `nextInstant` was reached. */
    | { kind: "tick"; }
    | { kind: "message"; message: Message; from: Address; }
    /** The platform's list of instances. */
    | { kind: "candidates"; list: readonly Candidate[]; }
    /** The process drains; other members are told that it leaves. */
    | { kind: "leave"; };

export type MembershipEffect =
    | { kind: "send"; to: Address; message: Message; }
    /** `previous` is undefined for a member that was unknown. */
    | { kind: "changed"; id: string; status: MemberStatus; previous: MemberStatus | undefined; };

export interface LocalMember extends Address {
    id: string;
    /** Higher than in earlier lives of the process, for example the instant of its start. */
    incarnation: number;
}

/** The part of a message that differs by kind. */
type Content =
    | { kind: "ping" | "ack" | "nack"; seq: number; }
    | { kind: "ping-req" | "pull"; seq: number; target: string; };

/** A helper tells that it got no answer after this part of the probe timeout. */
const nackAfter = 0.8;

/**
 * Failure detection among entry instances: SWIM with suspicion, and Lifeguard's local health multiplier and nacks.
 * `step` does no I/O; the caller sends the messages and calls it again at `nextInstant`.
 */
export class MembershipNode {
    private readonly options;
    private readonly table = new MemberTable();
    private readonly queue = new UpdateQueue();
    private readonly suspicions = new Suspicions();
    private readonly relayed = new RelayedProbes();
    private readonly health: LocalHealth;
    private readonly prober: Prober;
    private readonly order: ProbeOrder;
    private readonly candidates: Candidates;
    private effects: MembershipEffect[] = [];
    private incarnation: number;
    private seq = 0;
    private left = false;
    private readonly joiner: Joiner;
    private candidateAt: number;
    /** Instant at which news is sent although no probe is due; see `gossip`. */
    private gossipAt = Number.POSITIVE_INFINITY;

    constructor(
        private readonly self: LocalMember,
        private readonly random: RandomSource,
        now: number,
        options: MembershipOptionsInput = {},
    ) {
        this.options = membershipOptionsSchema.parse(options);
        this.incarnation = self.incarnation;
        this.health = new LocalHealth(this.options.maxLocalHealth);
        // A random start spreads the probes of processes that start together.
        this.prober = new Prober(this.options, this.health, now + random.next() * this.options.probeIntervalMs);
        this.order = new ProbeOrder(random);
        this.candidates = new Candidates(self.id, random);
        this.joiner = new Joiner(2 * this.options.probeTimeoutMs, now);
        this.candidateAt = now + random.next() * this.options.candidateIntervalMs;
        this.queue.add(this.selfUpdate());
    }

    /** Members that are not known to be dead or to have left, without the node itself. */
    liveMembers(): Member[] {
        return [...this.table.values()].filter(({ status }) => isLive(status));
    }

    member(id: string): Member | undefined {
        return this.table.get(id);
    }

    /** True once the node has taken over the whole member list of another one. */
    get isJoined(): boolean {
        return this.joiner.isJoined;
    }

    /** Instant at which `step` has something to do without a message. */
    nextDueAt(): number {
        const pullAt = this.candidates.size === 0 ? Number.POSITIVE_INFINITY : this.joiner.nextInstant();
        return Math.min(
            this.prober.nextInstant(),
            this.suspicions.nextInstant(),
            this.relayed.nextInstant(),
            this.queue.size > 0 ? this.gossipAt : Number.POSITIVE_INFINITY,
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
        this.onTime(now);
        return this.effects;
    }

    /** State for the dump. */
    dump(): Record<string, unknown> {
        const counts: Record<string, number> = { alive: 0, suspect: 0, dead: 0, left: 0 };
        for (const { status } of this.table.values()) {
            counts[status] = (counts[status] ?? 0) + 1;
        }
        const { incarnation, left: hasLeft, isJoined: joined } = this;
        const localHealth = this.health.multiplier;
        return { id: this.self.id, incarnation, joined, hasLeft, localHealth, queued: this.queue.size, ...counts };
    }

    private onTime(now: number): void {
        const suspicions = this.suspicions.takeDue(now);
        // The answer carries the newest incarnation, for a node that the refutation has not reached.
        suspicions.check.forEach(id => this.sendTo(id, { kind: "ping", seq: ++this.seq }));
        for (const id of suspicions.ended) {
            const member = this.table.get(id);
            if (member?.status === "suspect") {
                this.merge({ id, status: "dead", incarnation: member.incarnation }, now, true);
            }
        }
        for (const { origin, originSeq } of this.relayed.takeUnanswered(now)) {
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
        if (now >= this.gossipAt) {
            this.gossip(now);
        }
        const page = this.candidates.size > 0 ? this.joiner.step(now) : undefined;
        const source = page === undefined ? undefined : this.candidates.any();
        if (page !== undefined && source !== undefined) {
            this.send(source, { kind: "pull", seq: ++this.seq, target: page.after }, undefined);
        }
    }

    /**
     * Sends news to a random member when the local health has lengthened the probe interval. Without this, news spread
     * up to nine times slower than the suspicions ran out.
     */
    private gossip(now: number): void {
        this.gossipAt = now + this.options.probeIntervalMs;
        const [member] = this.queue.size > 0 ? this.random.sample(this.liveMembers(), 1) : [];
        if (member !== undefined) {
            this.send(member, { kind: "ping", seq: ++this.seq }, member);
        }
    }

    private startProbe(now: number): void {
        // Later than the next probe at the usual interval, so that it only acts at a longer one.
        this.gossipAt = now + 1.1 * this.options.probeIntervalMs;
        if (this.left) {
            // A probe from a node that has left would announce it as alive to members that do not know it.
            this.prober.start(undefined, 0, now);
            return;
        }
        const isProbed = (id: string) => isLive(this.table.get(id)?.status ?? "dead");
        const target = this.order.next(isProbed);
        this.prober.start(target, ++this.seq, now);
        if (target !== undefined) {
            this.sendTo(target, { kind: "ping", seq: this.seq });
        }
        const dueNotLive = now >= this.candidateAt;
        if (dueNotLive) {
            this.candidateAt = now + this.options.candidateIntervalMs;
            this.table.forget(now - this.options.forgetAfterMs);
        }
        const candidate = this.candidates.takeUntried(this.table)
            ?? (dueNotLive ? this.candidates.anyNotLive(this.table) : undefined);
        if (candidate !== undefined) {
            this.send(candidate, { kind: "ping", seq: ++this.seq }, this.table.get(candidate.id));
        }
    }

    /** Asks helpers, and also tries once more directly, since the first ping or its answer may have been lost. */
    private probeIndirectly(target: string, seq: number): void {
        const helpers = this.random.sample(
            this.liveMembers().filter(({ id, status }) => id !== target && status === "alive"),
            this.options.indirectProbes,
        );
        this.prober.onAsked(helpers.length);
        helpers.forEach(helper => this.send(helper, { kind: "ping-req", seq, target }, helper));
        this.sendTo(target, { kind: "ping", seq });
    }

    private suspect(id: string, now: number): void {
        const member = this.table.get(id);
        if (member?.status === "alive") {
            this.merge({ id, status: "suspect", incarnation: member.incarnation }, now, true);
            // Tells the member itself at once: its refutation then starts before the suspicion has spread.
            this.sendTo(id, { kind: "ping", seq: ++this.seq });
        }
    }

    private onLeave(): void {
        if (this.left) {
            return;
        }
        this.left = true;
        this.queue.add(this.selfUpdate());
        for (const member of this.random.sample(this.liveMembers(), this.options.indirectProbes)) {
            this.send(member, { kind: "ping", seq: ++this.seq }, member);
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
        // A page holds news that the others already know; passing it on would only cost bytes.
        message.updates.forEach(update => this.merge(update, now, message.kind !== "page"));
        this.answer(message, from, now);
    }

    private answer(message: Message, from: Address, now: number): void {
        const { seq } = message;
        switch (message.kind) {
            case "ping":
                this.send(
                    from,
                    { kind: "ack", seq },
                    this.table.get(message.from),
                    corrections(this.table, message.updates),
                );
                break;
            case "ack":
                this.onAck(seq);
                break;
            case "nack":
                this.prober.onNack(seq);
                break;
            case "ping-req":
                this.relayed.start(++this.seq, {
                    origin: message.from,
                    originSeq: seq,
                    nackAt: now + nackAfter * this.options.probeTimeoutMs,
                });
                this.sendTo(message.target, { kind: "ping", seq: this.seq });
                break;
            case "pull": {
                const { updates, last } = memberPage(this.table, message.target, this.options.maxPageBytes);
                this.push(from, { ...this.header(seq, updates), kind: "page", target: last });
                break;
            }
            case "page":
                this.joiner.onPage(message.target, now);
                break;
        }
    }

    private onAck(seq: number): void {
        this.prober.onAck(seq);
        const relayed = this.relayed.takeAnswered(seq);
        if (relayed !== undefined) {
            this.sendTo(relayed.origin, { kind: "ack", seq: relayed.originSeq });
        }
    }

    /** Takes news about a member; `passOn` says whether it is piggybacked further. */
    private merge(update: Update, now: number, passOn: boolean): void {
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
        if (passOn) {
            this.queue.add(asUpdate(member));
        }
        if (isLive(status) && !(previous !== undefined && isLive(previous))) {
            member.leaving = this.candidates.isLeaving(id);
            this.order.add(id);
        }
        this.suspicions.cancel(id);
        if (status === "suspect") {
            const { suspicionFactor, probeIntervalMs } = this.options;
            this.suspicions.start(id, now, suspicionFactor * probeIntervalMs * this.sizeFactor());
        }
        if (status !== previous) {
            this.effects.push({ kind: "changed", id, status, previous });
        }
    }

    /** Answers news that this node is not alive, or that belongs to an earlier life of it, with a new incarnation. */
    private refute(update: Update): void {
        const isOwn = update.status === "alive" || this.left;
        if (update.incarnation < this.incarnation || (isOwn && update.incarnation === this.incarnation)) {
            return;
        }
        this.incarnation = update.incarnation + 1;
        if (!isOwn) {
            this.health.onRefuted();
        }
        this.queue.add(this.selfUpdate());
    }

    private selfUpdate(): Update {
        const { id, host, port } = this.self;
        const { incarnation } = this;
        return this.left
            ? { id, status: "left", incarnation }
            : { id, status: "alive", incarnation, address: { host, port } };
    }

    /** Suspicions and retransmissions grow with the logarithm of the number of members. */
    private sizeFactor(): number {
        return Math.max(1, Math.log10(this.table.live + 1));
    }

    private header(seq: number, updates: Update[]) {
        return { from: this.self.id, incarnation: this.incarnation, seq, updates };
    }

    private sendTo(id: string, content: Content): void {
        const member = this.table.get(id);
        if (member !== undefined) {
            this.send(member, content, member);
        }
    }

    /**
     * Sends a message with piggybacked updates; `receiver` is what is known about the receiver, and `news` goes before
     * the queued updates.
     */
    private send(to: Address, content: Content, receiver: Member | undefined, news: readonly Update[] = []): void {
        // The receiver learns at once what others believe of it and can refute it.
        const ofReceiver = receiver === undefined || receiver.status === "alive" ? [] : [asUpdate(receiver)];
        const ofSelf = this.left ? [this.selfUpdate()] : [];
        const limit = Math.ceil(this.options.retransmitFactor * this.sizeFactor());
        const first = [...ofReceiver, ...ofSelf, ...news];
        // News sent to a member that may be dead would count as sent and be missing elsewhere.
        const queue = receiver?.status === "alive" ? this.queue : undefined;
        const updates = piggyback(queue, first, this.options.maxPiggybackBytes, limit);
        this.push({ host: to.host, port: to.port }, { ...this.header(content.seq, updates), ...content });
    }

    private push(to: Address, message: Message): void {
        this.effects.push({ kind: "send", to, message });
    }
}
