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

/** State machine to which the driver applies committed entries. */
export interface StateMachine {
    /** Applies the command of the entry at `index` and returns its result. */
    apply(command: string, index: number): unknown;
    /** Returns the whole state, from which `restore` recreates it. */
    snapshot(): string;
    restore(state: string): void;
    /** Called after each committed entry, including entries without a command. */
    onEntryApplied(entry: Entry): void;
    onRole(role: Role, term: number): void;
    /** Called when the end of the leader lease changes; undefined if there is no lease. */
    onLease(leaseUntil: number | undefined): void;
}

/** Sends agreement messages; it may drop messages. */
export interface AgreementTransport {
    send(message: Message, membership: Membership): void;
}

interface PendingProposal {
    term: number;
    resolve: (result: unknown) => void;
    reject: (err: ControlError) => void;
}

type RequestCallbacks = Pick<PendingProposal, "resolve" | "reject">;

/** Runs an agreement member: executes its effects in order and passes it ticks, messages and completed syncs. */
export class AgreementDriver extends Component {
    readonly name = "agreement";
    private readonly node: AgreementNode;
    private readonly pendingRequests = new Map<string, RequestCallbacks>();
    private readonly pendingProposals = new Map<number, PendingProposal>();
    private tickTimer: Timer | undefined;
    private nextRequestId = 1;
    private closed = false;
    private readonly queuedEffects: Effect[] = [];
    private isExecuting = false;
    private reportStorageFailure: (reason: string) => void = () => undefined;
    /** Resolves with the reason when the storage has failed; this member then takes no further part. */
    readonly storageFailed = new Promise<string>(resolve => this.reportStorageFailure = resolve);

    constructor(
        id: NodeId,
        private readonly storage: AgreementStorage,
        private readonly stateMachine: StateMachine,
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
        this.executeEffects(this.node.start());
        this.scheduleTick();
    }

    /** Transfers leadership to another voter, so that a planned stop does not cost an election timeout. */
    override async drain(): Promise<void> {
        if (this.node.status.role === "leader") {
            this.step({ type: "hand-over" });
        }
    }

    override async close(): Promise<void> {
        this.closed = true;
        this.tickTimer?.cancel();
        this.rejectAll("the process is closing");
        await this.storage.close();
    }

    receive(message: Message): void {
        this.step({ type: "message", message });
    }

    /** Proposes a command and resolves with the result of applying it; rejects with a `ControlError`. */
    propose(command: string): Promise<unknown> {
        return this.submitRequest(id => ({ type: "propose", id, command }));
    }

    /** Proposes a membership change and resolves once it is committed; rejects with a `ControlError`. */
    changeMembership(change: MembershipChange): Promise<unknown> {
        return this.submitRequest(id => ({ type: "change-membership", id, change }));
    }

    /**
     * Resolves once the state machine can serve a linearizable read, that is, contains all entries committed before the
     * call; rejects with a `ControlError`.
     */
    async confirmRead(): Promise<void> {
        await this.submitRequest(id => ({ type: "read", id }));
    }

    private submitRequest(createInput: (id: string) => Input): Promise<unknown> {
        if (this.closed) {
            return Promise.reject(new ControlError("not-leader", "the process is closing"));
        }
        return new Promise((resolve, reject) => {
            const id = String(this.nextRequestId++);
            this.pendingRequests.set(id, { resolve, reject });
            this.step(createInput(id));
        });
    }

    private step(input: Input): void {
        if (!this.closed) {
            this.executeEffects(this.node.step(input, this.clock.now()));
            this.scheduleTick();
        }
    }

    private scheduleTick(): void {
        this.tickTimer?.cancel();
        // `nextTickAt` is infinite after a storage failure.
        this.tickTimer = Number.isFinite(this.node.nextTickAt)
            ? this.clock.schedule(this.node.nextTickAt, () => this.step({ type: "tick" }))
            : undefined;
    }

    /**
     * Executes effects in the order of the steps that returned them. A step that is made while effects are executed,
     * for example by the state machine, only queues its effects, because its writes must not overtake earlier ones.
     */
    private executeEffects(effects: readonly Effect[]): void {
        this.queuedEffects.push(...effects);
        if (this.isExecuting) {
            return;
        }
        this.isExecuting = true;
        try {
            for (let effect = this.queuedEffects.shift(); effect !== undefined; effect = this.queuedEffects.shift()) {
                this.executeEffect(effect);
            }
        }
        finally {
            this.isExecuting = false;
        }
    }

    private executeEffect(effect: Effect): void {
        switch (effect.type) {
            case "save-state":
            case "append":
            case "save-snapshot":
                this.storage.write(effect);
                break;
            case "sync":
                this.syncStorage(effect.sequence);
                break;
            case "send":
                this.transport.send(effect.message, this.node.status.membership);
                break;
            case "apply":
                this.applyEntries(effect.entries);
                break;
            case "restore":
                this.restoreSnapshot(effect.snapshot);
                break;
            case "snapshot-due":
                this.step({ type: "snapshot-taken", index: effect.index, state: this.stateMachine.snapshot() });
                break;
            case "lease":
                this.stateMachine.onLease(effect.until);
                break;
            case "role":
                this.onRole(effect.role, effect.term, effect.leader);
                break;
            case "proposed":
                this.onProposed(effect.id, effect.index, effect.term);
                break;
            case "refused":
                this.removeRequest(effect.id)?.reject(this.refusalError(effect.reason, effect.leader));
                break;
            case "read-ready":
                this.removeRequest(effect.id)?.resolve(undefined);
                break;
        }
    }

    private syncStorage(sequence: number): void {
        this.storage.sync().then(() => this.step({ type: "synced", sequence })).catch((err: unknown) => {
            if (this.closed) {
                return;
            }
            this.log.error("agreement.storage-failed", { error: String(err) });
            this.rejectAll("the storage of this process failed; restart the process");
            this.step({ type: "storage-failed" });
            this.reportStorageFailure(String(err));
        });
    }

    private applyEntries(entries: readonly Entry[]): void {
        for (const entry of entries) {
            const result = entry.content.kind === "command"
                ? this.stateMachine.apply(entry.content.command, entry.index)
                : undefined;
            this.stateMachine.onEntryApplied(entry);
            const proposal = this.pendingProposals.get(entry.index);
            this.pendingProposals.delete(entry.index);
            if (proposal?.term === entry.term) {
                proposal.resolve(result);
            }
            else {
                proposal?.reject(
                    new ControlError(
                        "not-leader",
                        "another leader overwrote the command in the log before it was committed; retry the request",
                    ),
                );
            }
        }
    }

    private restoreSnapshot(snapshot: Snapshot): void {
        if (snapshot.state !== "") {
            this.stateMachine.restore(snapshot.state);
        }
        for (const [index, proposal] of this.pendingProposals) {
            if (index <= snapshot.index) {
                this.pendingProposals.delete(index);
                proposal.reject(
                    new ControlError(
                        "unknown",
                        "a snapshot replaced the entry before its result was read; retry with the same operation id",
                    ),
                );
            }
        }
    }

    private onRole(role: Role, term: number, leader: NodeId | undefined): void {
        this.log.info("agreement.role", { role, term, leader: addressOf(this.node.status.membership, leader)?.name });
        this.stateMachine.onRole(role, term);
        if (role !== "leader") {
            this.rejectAll("leadership was lost before the result was known; retry with the same operation id");
        }
    }

    private onProposed(id: string, index: number, term: number): void {
        const callbacks = this.removeRequest(id);
        if (callbacks !== undefined) {
            this.pendingProposals.set(index, { term, ...callbacks });
        }
    }

    private refusalError(reason: string, leader: NodeId | undefined): ControlError {
        const address = addressOf(this.node.status.membership, leader);
        return reason === "not-leader" || reason === "not-ready" || reason === "handing-over"
            ? new ControlError("not-leader", `this process is not the leader (${reason})`, address)
            : new ControlError("refused", `the agreement member refused the request: ${reason}`);
    }

    private removeRequest(id: string): RequestCallbacks | undefined {
        const callbacks = this.pendingRequests.get(id);
        this.pendingRequests.delete(id);
        return callbacks;
    }

    private rejectAll(message: string): void {
        const allCallbacks = [...this.pendingRequests.values(), ...this.pendingProposals.values()];
        this.pendingRequests.clear();
        this.pendingProposals.clear();
        for (const callbacks of allCallbacks) {
            callbacks.reject(new ControlError("unknown", message));
        }
    }
}
