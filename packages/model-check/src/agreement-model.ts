import {
    type AgreementOptions,
    applyWrite,
    type Effect,
    foundingState,
    type Input,
    joiningState,
    type MembershipChange,
    type Message,
    type NodeState,
    type Rule,
    type StoredState,
} from "@lentilramp/agreement";
import {
    type Budget,
    forgetTime,
    type GroupState,
    hashGroup,
    isDead,
    makeSlot,
    noHash,
    type Slot,
} from "./agreement-state.ts";
import { CheckedNode } from "./checked-node.ts";
import { Model, type Step } from "./explorer.ts";
import { addHashes, type Hash, hashText } from "./hash.ts";
import { checkCommit, checkLeader, checkLeases, checkRead, checkRestore, invariantNames } from "./invariants.ts";
import { checkPowerLoss, type PowerLoss, powerLossInvariants } from "./power-loss.ts";

export interface AgreementModelSettings {
    readonly name: string;
    readonly voters: number;
    readonly joiners: number;
    readonly options: Partial<AgreementOptions>;
    readonly budget: Budget;
    /** Syncs complete as steps of their own; otherwise at once. */
    readonly separateSync: boolean;
    /** Time advances by this much in a step; undefined for models in which any timer can expire at any moment. */
    readonly timeStep: number | undefined;
    /** One initial state for each list of clock rates. */
    readonly rates: readonly (readonly number[])[];
    readonly changes: readonly MembershipChange[];
    /** Steps that lead to the initial state; "lose messages" empties the network. */
    readonly prefix: readonly string[];
    /** Whether each state is also checked for the loss of the power of all nodes and of one disk. */
    readonly powerLoss?: PowerLoss;
}

/** A group of production nodes in which steps happen in any order. */
export class AgreementModel extends Model<GroupState> {
    readonly invariants: readonly string[];
    private readonly nodes: CheckedNode[];
    private readonly voters: readonly string[];
    private readonly textHashes = new Map<string, Hash>();

    constructor(readonly settings: AgreementModelSettings, private readonly off: readonly Rule[]) {
        super();
        this.invariants = settings.powerLoss === undefined
            ? invariantNames
            : [...invariantNames, ...powerLossInvariants];
        this.voters = ["a", "b", "c", "d", "e"].slice(0, settings.voters);
        const joiners = ["x", "y"].slice(0, settings.joiners);
        this.nodes = [...this.voters, ...joiners].map(id => this.startNode(id, this.firstStored(id), 0));
    }

    get name(): string {
        return this.settings.name;
    }

    override initial(): GroupState[] {
        return this.settings.rates.map(rates => {
            const slots = this.nodes.map(({ id }) => {
                const durable = this.firstStored(id);
                const node = this.startNode(id, durable, 0);
                node.start();
                return makeSlot({ id, node: this.settle(node.currentState), durable, pending: [] });
            });
            const state: GroupState = {
                slots,
                messages: new Map(),
                messageHash: noHash,
                committed: [],
                committedIn: [],
                leaders: new Map(),
                reads: new Map(),
                budget: { campaigns: 99, proposals: 99, crashes: 0, reads: 0, changes: 99, handOvers: 0, time: 99 },
                time: 0,
                rates,
            };
            return {
                ...this.settings.prefix.reduce((now, label) => this.follow(now, label), state),
                budget: this.settings.budget,
            };
        });
    }

    override hash(state: GroupState): Hash {
        return hashGroup(state);
    }

    override check(state: GroupState): void {
        if (this.settings.timeStep !== undefined) {
            checkLeases(state, this.localTimes(state));
        }
        if (this.settings.powerLoss !== undefined) {
            checkPowerLoss(state, this.settings.powerLoss);
        }
    }

    override steps(state: GroupState): Step<GroupState>[] {
        const { budget } = state;
        const steps: Step<GroupState>[] = [];
        const add = (label: string, take: () => GroupState) => void steps.push({ label, take });
        for (const [text, message] of state.messages) {
            const to = this.nodes.findIndex(node => node.id === message.to);
            add(`deliver ${text}`, () => this.input(state, to, { type: "message", message }));
        }
        state.slots.forEach((slot, i) => {
            const { node, id } = slot;
            if (id === this.settings.powerLoss?.absent) {
                return;
            }
            const leads = node.role === "leader";
            if (slot.pending.length > 0) {
                add(`sync ${id}`, () => this.sync(state, i));
            }
            if (this.settings.timeStep !== undefined) {
                add(`tick ${id}`, () => this.input(state, i, { type: "tick" }));
            }
            else if (leads) {
                add(
                    `heartbeat ${id}`,
                    () => this.input(state, i, { type: "tick" }, node => node.nextHeartbeatAt = node.now),
                );
            }
            else if (budget.campaigns > 0 && this.mayCampaign(state, id)) {
                add(
                    `campaign ${id}`,
                    () =>
                        this.input(
                            spend(state, "campaigns"),
                            i,
                            { type: "tick" },
                            node => node.electionDeadline = node.now,
                        ),
                );
            }
            if (leads && this.settings.timeStep === undefined && budget.campaigns > 0) {
                add(`step down ${id}`, () => this.input(spend(state, "campaigns"), i, { type: "tick" }, stopHearing));
            }
            if (leads && budget.proposals > 0) {
                const command = `p${budget.proposals}`;
                add(
                    `propose ${id}`,
                    () => this.input(spend(state, "proposals"), i, { type: "propose", id: command, command }),
                );
            }
            if (leads && budget.reads > 0) {
                add(`read ${id}`, () => this.read(spend(state, "reads"), i, `r${budget.reads}`));
            }
            if (leads && budget.handOvers > 0) {
                add(`hand-over ${id}`, () => this.input(spend(state, "handOvers"), i, { type: "hand-over" }));
            }
            if (leads && budget.changes > 0) {
                for (const change of this.settings.changes) {
                    add(
                        `${change.kind} ${change.id} by ${id}`,
                        () => this.input(spend(state, "changes"), i, { type: "change-membership", id: "m", change }),
                    );
                }
            }
            if (budget.crashes > 0) {
                const counts = new Set([0, Math.max(0, slot.pending.length - 1), slot.pending.length]);
                for (const kept of counts) {
                    add(
                        `crash ${id} keeping ${kept} of ${slot.pending.length} unsynced writes`,
                        () => this.crash(spend(state, "crashes"), i, kept),
                    );
                }
            }
        });
        if (budget.time > 0) {
            add("time passes", () => ({ ...spend(state, "time"), time: state.time + (this.settings.timeStep ?? 0) }));
        }
        return steps;
    }

    /** At the start all voters are alike, so it is enough that the first one campaigns first. */
    private mayCampaign(state: GroupState, id: string): boolean {
        const first = this.settings.prefix.length === 0 && state.budget.campaigns === this.settings.budget.campaigns;
        return !first || id === "a";
    }

    private follow(state: GroupState, label: string): GroupState {
        if (label === "lose messages") {
            return { ...state, messages: new Map(), messageHash: noHash };
        }
        const [, from, to, type] = /^(\w+)->(\w+) (.*)$/.exec(label) ?? [];
        const wanted = (step: Step<GroupState>) => {
            if (type === undefined) {
                return step.label === label;
            }
            const message = state.messages.get(step.label.slice("deliver ".length));
            return message?.from === from && message?.to === to && message?.type === type;
        };
        const steps = this.steps(state).filter(wanted);
        const step = steps[steps.length - 1];
        if (step === undefined) {
            throw new Error(`model ${this.name}: no step "${label}" in the prefix`);
        }
        return step.take();
    }

    private localTimes(state: GroupState): number[] {
        return state.rates.map(rate => state.time * rate);
    }

    private firstStored(id: string): StoredState {
        return this.voters.includes(id)
            ? foundingState(this.voters.map(voter => ({ id: voter, address: voter })))
            : joiningState();
    }

    private startNode(id: string, stored: StoredState, now: number): CheckedNode {
        return new CheckedNode({ id, stored, options: this.settings.options, random: () => 0, now }, [
            ...this.off,
            "pre-vote",
        ]);
    }

    private settle(node: NodeState): NodeState {
        if (this.settings.timeStep === undefined) {
            forgetTime(node);
        }
        return node;
    }

    private input(
        state: GroupState,
        i: number,
        input: Input,
        adjust: (node: NodeState) => void = () => undefined,
    ): GroupState {
        const slot = state.slots[i] as Slot;
        const node = this.nodes[i] as CheckedNode;
        const now = this.localTimes(state)[i] ?? 0;
        const effects = node.stepFrom(slot.node, input, now, adjust);
        return this.perform(state, slot, node, effects);
    }

    private perform(before: GroupState, slot: Slot, node: CheckedNode, first: readonly Effect[]): GroupState {
        const messages = new Map(before.messages);
        let { durable, pending } = slot;
        let state: GroupState = before;
        const queue = [...first];
        for (let effect = queue.shift(); effect !== undefined; effect = queue.shift()) {
            switch (effect.type) {
                case "save-state":
                case "append":
                case "save-snapshot":
                    pending = [...pending, effect];
                    break;
                case "sync":
                    if (!this.settings.separateSync) {
                        queue.push(...node.step({ type: "synced", sequence: effect.sequence }, node.currentState.now));
                    }
                    break;
                case "send":
                    this.transmit(messages, effect.message);
                    break;
                case "apply":
                    state = checkCommit(state, slot.id, effect.entries, node.currentState, {
                        ...slot,
                        durable,
                        pending,
                    });
                    break;
                case "snapshot-due": {
                    const text = state.committed.slice(0, effect.index).join(" ");
                    const input = { type: "snapshot-taken", index: effect.index, state: text } as const;
                    queue.push(...node.step(input, node.currentState.now));
                    break;
                }
                case "restore":
                    checkRestore(state, slot, effect.snapshot);
                    break;
                case "role":
                    state = effect.role === "leader" ? checkLeader(state, slot.id, node.currentState) : state;
                    break;
                case "read-ready":
                    state = checkRead(state, slot.id, effect.id, effect.index);
                    break;
                default:
                    break;
            }
            if (!this.settings.separateSync) {
                durable = pending.reduce(applyWrite, durable);
                pending = [];
            }
        }
        const synced = node.currentState.syncedSequence;
        const next = this.settle(node.currentState);
        if (this.settings.timeStep === undefined) {
            pending = pending.map(write => ({ ...write, sequence: write.sequence - synced }));
        }
        const changed = makeSlot({ id: slot.id, node: next, durable, pending });
        return this.dropDead({
            ...state,
            messages,
            slots: before.slots.map(other => other.id === slot.id ? changed : other),
        });
    }

    private dropDead(state: GroupState): GroupState {
        const messages = new Map<string, Message>();
        let messageHash = noHash;
        for (const [text, message] of state.messages) {
            const to = state.slots.find(slot => slot.id === message.to);
            const isAbsent = message.to === this.settings.powerLoss?.absent;
            if (to !== undefined && !isAbsent && !isDead(message, to, this.settings.timeStep === undefined)) {
                messages.set(text, message);
                messageHash = addHashes(messageHash, this.hashOf(text));
            }
        }
        return { ...state, messages, messageHash };
    }

    private hashOf(text: string): Hash {
        let hash = this.textHashes.get(text);
        if (hash === undefined) {
            hash = hashText(text);
            this.textHashes.set(text, hash);
        }
        return hash;
    }

    private transmit(messages: Map<string, Message>, message: Message): void {
        const timeless = this.settings.timeStep === undefined && "sentAt" in message;
        const sent = timeless ? { ...message, sentAt: 0 } : message;
        messages.set(JSON.stringify(sent), sent);
    }

    private sync(state: GroupState, i: number): GroupState {
        const slot = state.slots[i] as Slot;
        const durable = slot.pending.reduce(applyWrite, slot.durable);
        const sequence = slot.pending[slot.pending.length - 1]?.sequence ?? 0;
        const synced = { ...state, slots: state.slots.map(s => s === slot ? { ...s, durable, pending: [] } : s) };
        return this.input(synced, i, { type: "synced", sequence });
    }

    private crash(state: GroupState, i: number, kept: number): GroupState {
        const slot = state.slots[i] as Slot;
        const durable = slot.pending.slice(0, kept).reduce(applyWrite, slot.durable);
        const node = this.startNode(slot.id, durable, this.localTimes(state)[i] ?? 0);
        const effects = node.start();
        return this.perform(state, { ...slot, node: node.currentState, durable, pending: [] }, node, effects);
    }

    private read(state: GroupState, i: number, id: string): GroupState {
        const reads = new Map(state.reads).set(id, state.committed.length);
        return this.input({ ...state, reads }, i, { type: "read", id });
    }
}

/** Lets a leader find that it has heard from no majority for the election timeout. */
function stopHearing(node: NodeState): void {
    node.electionDeadline = node.now;
    for (const peer of node.peers.values()) {
        peer.lastReplyAt = -Infinity;
    }
}

function spend(state: GroupState, item: keyof Budget): GroupState {
    return { ...state, budget: { ...state.budget, [item]: state.budget[item] - 1 } };
}
