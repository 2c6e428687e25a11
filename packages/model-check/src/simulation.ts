import {
    AgreementNode,
    type AgreementOptions,
    applyWrite,
    type Effect,
    foundingState,
    type Input,
    joiningState,
    type Message,
    type NodeSettings,
    type StoredState,
    type Write,
} from "@lentilramp/agreement";
import { SeededRandom } from "@lentilramp/runtime";
import TinyQueue from "tinyqueue";
import { History, nextDigest } from "./history.ts";

export interface SimulationSettings {
    readonly seed: number;
    readonly hosts: number;
    readonly options: Partial<AgreementOptions>;
    readonly delayMs: number;
    readonly jitterMs: number;
    readonly loss: number;
    readonly duplication: number;
    readonly syncMs: number;
    /** Builds the node; tests turn rules off here. */
    readonly createNode: (settings: NodeSettings) => AgreementNode;
}

export const defaultSimulationSettings: SimulationSettings = {
    seed: 1,
    hosts: 3,
    options: { snapshotIntervalEntries: 8, retainedEntries: 2, maxBatchEntries: 3 },
    delayMs: 4,
    jitterMs: 3,
    loss: 0.02,
    duplication: 0.02,
    syncMs: 3,
    createNode: settings => new AgreementNode(settings),
};

/** One machine: its disk, and a process that can be down. */
export class Host {
    node: AgreementNode | undefined;
    durable: StoredState;
    pending: Write[] = [];
    /** Counts starts; events of an earlier process are ignored. */
    start = 0;
    tickAt = Infinity;
    appliedIndex = 0;
    digest = "";
    leaseUntil: number | undefined;

    constructor(readonly slot: number, readonly id: string, stored: StoredState, readonly clockRate: number) {
        this.durable = stored;
    }

    localTime(now: number): number {
        return now * this.clockRate;
    }
}

const tickMarginMs = 0.001;

interface Event {
    at: number;
    order: number;
    run: () => void;
}

/** A group of nodes with simulated disks, clocks and network, reproducible from the seed; checks History. */
export class Simulation {
    now = 0;
    hosts: Host[] = [];
    readonly history = new History();
    readonly committedCommands = new Set<string>();
    readonly refused: string[] = [];
    /** Hosts in different groups cannot exchange messages. */
    private groups: number[] = [];
    private readonly random: SeededRandom;
    private readonly events = new TinyQueue<Event>([], (a, b) => a.at - b.at || a.order - b.order);
    private order = 0;
    private readonly reads = new Map<string, number>();

    constructor(readonly settings: SimulationSettings) {
        this.random = new SeededRandom(settings.seed);
        const members = [...Array(settings.hosts).keys()].map(i => ({ id: `n${i}`, address: `host${i}` }));
        const error = settings.options.clockRateError ?? 0.01;
        members.forEach(({ id }, slot) => {
            const rate = 1 + error * (2 * this.random.next() - 1);
            this.hosts.push(new Host(slot, id, foundingState(members), rate));
        });
        this.groups = this.hosts.map(() => 0);
        this.hosts.forEach(host => this.restart(host.slot));
    }

    host(slot: number): Host {
        return this.hosts[slot % this.hosts.length] as Host;
    }

    /** The leader with the highest term that is up. */
    leader(): Host | undefined {
        return this.hosts.filter(host => host.node?.status.role === "leader")
            .sort((a, b) => (b.node?.status.term ?? 0) - (a.node?.status.term ?? 0))[0];
    }

    restart(slot: number): void {
        const host = this.host(slot);
        if (host.node !== undefined) {
            return;
        }
        host.start += 1;
        host.appliedIndex = 0;
        host.digest = "";
        const settings = {
            id: host.id,
            stored: host.durable,
            options: this.settings.options,
            random: () => this.random.next(),
            now: host.localTime(this.now),
        };
        host.node = this.settings.createNode(settings);
        this.perform(host, host.node.start());
    }

    /** Ends the process. Of the writes that were not synced, a prefix of random length survives. */
    crash(slot: number): void {
        const host = this.host(slot);
        host.node = undefined;
        host.leaseUntil = undefined;
        const kept = this.random.nextInt(host.pending.length + 1);
        host.durable = host.pending.slice(0, kept).reduce(applyWrite, host.durable);
        host.pending = [];
    }

    /** Replaces a host whose disk is lost by one with a new identity. */
    replace(slot: number): void {
        const old = this.host(slot);
        this.crash(slot);
        const id = `n${old.slot}.${Number(old.id.split(".")[1] ?? 0) + 1}`;
        this.hosts[old.slot] = new Host(old.slot, id, joiningState(), old.clockRate);
        this.restart(slot);
    }

    partition(groups: readonly number[]): void {
        this.groups = this.hosts.map(host => groups[host.slot] ?? 0);
    }

    step(host: Host, input: Input): void {
        if (host.node !== undefined) {
            this.perform(host, host.node.step(input, host.localTime(this.now)));
        }
    }

    read(slot: number, id: string): void {
        this.reads.set(id, this.history.lastIndex);
        this.step(this.host(slot), { type: "read", id });
    }

    run(durationMs: number): void {
        const end = this.now + durationMs;
        for (let event = this.events.peek(); event !== undefined && event.at <= end; event = this.events.peek()) {
            this.events.pop();
            this.now = event.at;
            event.run();
        }
        this.now = end;
    }

    private schedule(at: number, run: () => void): void {
        this.events.push({ at, order: this.order++, run });
    }

    private scheduleFor(host: Host, at: number, run: () => void): void {
        const { start } = host;
        this.schedule(at, () => {
            if (host.start === start && host.node !== undefined) {
                run();
            }
        });
    }

    private perform(host: Host, effects: readonly Effect[]): void {
        for (const effect of effects) {
            this.performOne(host, effect);
        }
        // The margin keeps rounding from scheduling a tick just before the instant that it is for.
        const due = (host.node?.nextTickAt ?? Infinity) / host.clockRate + tickMarginMs;
        if (due !== host.tickAt) {
            host.tickAt = due;
            this.scheduleFor(host, Math.max(due, this.now), () => {
                if (host.tickAt === due) {
                    host.tickAt = Infinity;
                    this.step(host, { type: "tick" });
                }
            });
        }
    }

    private performOne(host: Host, effect: Effect): void {
        switch (effect.type) {
            case "save-state":
            case "append":
            case "save-snapshot":
                host.pending.push(effect);
                return;
            case "sync":
                this.scheduleFor(host, this.now + this.settings.syncMs * (0.5 + this.random.next()), () => {
                    const done = host.pending.filter(write => write.sequence <= effect.sequence);
                    host.durable = done.reduce(applyWrite, host.durable);
                    host.pending = host.pending.filter(write => write.sequence > effect.sequence);
                    this.step(host, { type: "synced", sequence: effect.sequence });
                });
                return;
            case "send":
                this.transmit(host, effect.message);
                return;
            case "apply":
                for (const entry of effect.entries) {
                    this.history.recordApply(host.id, entry, host.digest);
                    host.digest = nextDigest(host.digest, entry);
                    host.appliedIndex = entry.index;
                    if (entry.content.kind === "command") {
                        this.committedCommands.add(entry.content.command);
                    }
                }
                this.checkLeases();
                return;
            case "restore":
                this.history.recordRestore(host.id, effect.snapshot.index, effect.snapshot.state);
                host.digest = effect.snapshot.state;
                host.appliedIndex = effect.snapshot.index;
                return;
            case "snapshot-due": {
                const { appliedIndex, digest } = host;
                this.scheduleFor(host, this.now + 1, () => {
                    this.step(host, { type: "snapshot-taken", index: appliedIndex, state: digest });
                });
                return;
            }
            case "lease":
                host.leaseUntil = effect.until;
                this.checkLeases();
                return;
            case "role":
                if (effect.role === "leader") {
                    this.history.recordLeader(effect.term, host.id);
                }
                return;
            case "proposed":
                return;
            case "refused":
                this.refused.push(`${effect.id} ${effect.reason}`);
                return;
            case "read-ready":
                this.history.recordRead(host.id, effect.index, this.reads.get(effect.id) ?? 0);
                return;
        }
    }

    private checkLeases(): void {
        const holders = this.hosts.filter(host =>
            host.leaseUntil !== undefined && host.localTime(this.now) < host.leaseUntil
        );
        this.history.checkLeases(holders.map(({ id, appliedIndex }) => ({ id, appliedIndex })));
    }

    private transmit(from: Host, message: Message): void {
        const copies = this.random.next() < this.settings.duplication ? 2 : 1;
        for (let i = 0; i < copies; i++) {
            if (this.random.next() < this.settings.loss) {
                continue;
            }
            const delay = this.settings.delayMs + this.settings.jitterMs * this.random.next();
            this.schedule(this.now + delay, () => {
                const to = this.hosts.find(host => host.id === message.to);
                if (to !== undefined && this.groups[from.slot] === this.groups[to.slot]) {
                    this.step(to, { type: "message", message });
                }
            });
        }
    }
}
