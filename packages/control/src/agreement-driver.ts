import {
    AgreementNode,
    type AgreementOptions,
    type Effect,
    type Entry,
    type Input,
    type Membership,
    type MembershipChange,
    type Message,
    type NodeId,
    type Role,
    type Snapshot,
} from "@lentilramp/agreement";
import { type Clock, Component, type EventLog, type RandomSource, type Timer } from "@lentilramp/runtime";
import type { AgreementStorage } from "./agreement-storage.ts";
import { ControlError } from "./control-error.ts";
import { addressOf } from "./member-address.ts";

/** What the driver does with committed entries. */
export interface StateMachine {
    /** Applies a command and returns its result. */
    apply(command: string, index: number): unknown;
    snapshot(): string;
    restore(state: string): void;
    onEntryApplied(entry: Entry): void;
    onRole(role: Role, term: number): void;
    onLease(until: number | undefined): void;
}

/** Sends agreement messages; lost messages are allowed. */
export interface AgreementTransport {
    send(message: Message, membership: Membership): void;
}

interface WaitingProposal {
    term: number;
    resolve: (result: unknown) => void;
    reject: (err: ControlError) => void;
}

type Callback = Pick<WaitingProposal, "resolve" | "reject">;

/** Runs an agreement member: carries out its effects in order and feeds ticks, messages and completed syncs. */
export class AgreementDriver extends Component {
    readonly name = "agreement";
    private readonly node: AgreementNode;
    private readonly requested = new Map<string, Callback>();
    private readonly waiting = new Map<number, WaitingProposal>();
    private timer: Timer | undefined;
    private nextRequestId = 1;
    private closed = false;
    private readonly effects: Effect[] = [];
    private carryingOut = false;

    constructor(
        id: NodeId,
        private readonly storage: AgreementStorage,
        private readonly machine: StateMachine,
        private readonly transport: AgreementTransport,
        private readonly clock: Clock,
        random: RandomSource,
        private readonly log: EventLog,
        options?: Partial<AgreementOptions>,
    ) {
        super();
        this.node = new AgreementNode({
            id,
            stored: storage.stored,
            options,
            random: () => random.next(),
            now: clock.now(),
        });
    }

    get status(): AgreementNode["status"] {
        return this.node.status;
    }

    get id(): NodeId {
        return this.node.id;
    }

    override async start(): Promise<void> {
        this.carryOut(this.node.start());
        this.scheduleTick();
    }

    /** Hands leadership to another voter, so that a planned stop causes no election timeout. */
    override async drain(): Promise<void> {
        if (this.node.status.role === "leader") {
            this.step({ type: "hand-over" });
        }
    }

    override async close(): Promise<void> {
        this.closed = true;
        this.timer?.cancel();
        this.rejectAll("the process is closing");
        await this.storage.close();
    }

    receive(message: Message): void {
        this.step({ type: "message", message });
    }

    /** Proposes a command and resolves with the result of its application; rejects with a ControlError. */
    propose(command: string): Promise<unknown> {
        return this.request(id => ({ type: "propose", id, command }));
    }

    changeMembership(change: MembershipChange): Promise<unknown> {
        return this.request(id => ({ type: "change-membership", id, change }));
    }

    /** Resolves when the state machine may answer a read of the newest committed state. */
    async confirmRead(): Promise<void> {
        await this.request(id => ({ type: "read", id }));
    }

    private request(input: (id: string) => Input): Promise<unknown> {
        if (this.closed) {
            return Promise.reject(new ControlError("not-leader", "the process is closing"));
        }
        return new Promise((resolve, reject) => {
            const id = String(this.nextRequestId++);
            this.requested.set(id, { resolve, reject });
            this.step(input(id));
        });
    }

    private step(input: Input): void {
        if (!this.closed) {
            this.carryOut(this.node.step(input, this.clock.now()));
            this.scheduleTick();
        }
    }

    private scheduleTick(): void {
        this.timer?.cancel();
        // After a storage failure there is no next tick.
        this.timer = Number.isFinite(this.node.nextTickAt)
            ? this.clock.schedule(this.node.nextTickAt, () => this.step({ type: "tick" }))
            : undefined;
    }

    /**
     * Carries out effects in the order of the steps that gave them. A step that is taken while effects are carried
     * out, for example by the state machine, must not have its writes overtake earlier ones.
     */
    private carryOut(effects: readonly Effect[]): void {
        this.effects.push(...effects);
        if (this.carryingOut) {
            return;
        }
        this.carryingOut = true;
        try {
            for (let effect = this.effects.shift(); effect !== undefined; effect = this.effects.shift()) {
                this.carryOutOne(effect);
            }
        }
        finally {
            this.carryingOut = false;
        }
    }

    private carryOutOne(effect: Effect): void {
        switch (effect.type) {
            case "save-state":
            case "append":
            case "save-snapshot":
                this.storage.write(effect);
                break;
            case "sync":
                this.sync(effect.sequence);
                break;
            case "send":
                this.transport.send(effect.message, this.node.status.membership);
                break;
            case "apply":
                this.applyEntries(effect.entries);
                break;
            case "restore":
                this.restore(effect.snapshot);
                break;
            case "snapshot-due":
                this.step({ type: "snapshot-taken", index: effect.index, state: this.machine.snapshot() });
                break;
            case "lease":
                this.machine.onLease(effect.until);
                break;
            case "role":
                this.onRole(effect.role, effect.term, effect.leader);
                break;
            case "proposed":
                this.onProposed(effect.id, effect.index, effect.term);
                break;
            case "refused":
                this.take(effect.id)?.reject(this.refusal(effect.reason, effect.leader));
                break;
            case "read-ready":
                this.take(effect.id)?.resolve(undefined);
                break;
        }
    }

    private sync(sequence: number): void {
        this.storage.sync().then(() => this.step({ type: "synced", sequence })).catch((err: unknown) => {
            this.log.error("agreement.storage-failed", { error: String(err) });
            this.rejectAll("the storage of this process failed");
            this.step({ type: "storage-failed" });
        });
    }

    private applyEntries(entries: readonly Entry[]): void {
        for (const entry of entries) {
            const result = entry.content.kind === "command"
                ? this.machine.apply(entry.content.command, entry.index)
                : undefined;
            this.machine.onEntryApplied(entry);
            const proposal = this.waiting.get(entry.index);
            this.waiting.delete(entry.index);
            if (proposal?.term === entry.term) {
                proposal.resolve(result);
            }
            else {
                proposal?.reject(
                    new ControlError("not-leader", "another leader replaced the command before it was committed"),
                );
            }
        }
    }

    private restore(snapshot: Snapshot): void {
        if (snapshot.state !== "") {
            this.machine.restore(snapshot.state);
        }
        for (const [index, proposal] of this.waiting) {
            if (index <= snapshot.index) {
                this.waiting.delete(index);
                proposal.reject(
                    new ControlError(
                        "unknown",
                        "the outcome was replaced by a snapshot; ask again with the operation id",
                    ),
                );
            }
        }
    }

    private onRole(role: Role, term: number, leader: NodeId | undefined): void {
        this.log.info("agreement.role", { role, term, leader: addressOf(this.node.status.membership, leader)?.name });
        this.machine.onRole(role, term);
        if (role !== "leader") {
            this.rejectAll("leadership was lost; ask again with the operation id");
        }
    }

    private onProposed(id: string, index: number, term: number): void {
        const callback = this.take(id);
        if (callback !== undefined) {
            this.waiting.set(index, { term, ...callback });
        }
    }

    private refusal(reason: string, leader: NodeId | undefined): ControlError {
        const address = addressOf(this.node.status.membership, leader);
        return reason === "not-leader" || reason === "not-ready" || reason === "handing-over"
            ? new ControlError("not-leader", `this process does not lead (${reason})`, address)
            : new ControlError("refused", `refused: ${reason}`);
    }

    private take(id: string): Callback | undefined {
        const callback = this.requested.get(id);
        this.requested.delete(id);
        return callback;
    }

    private rejectAll(message: string): void {
        const callbacks = [...this.requested.values(), ...this.waiting.values()];
        this.requested.clear();
        this.waiting.clear();
        for (const callback of callbacks) {
            callback.reject(new ControlError("unknown", message));
        }
    }
}
