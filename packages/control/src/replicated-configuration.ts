import type { Entry, Role } from "@lentilramp/agreement";
import {
    type Command,
    type CommandResult,
    commandSchema,
    ConfigurationPublisher,
    ConfigurationStore,
    DrainTracker,
    PermitGrantor,
    type SubscribeAnswer,
    type SubscribeRequest,
} from "@lentilramp/configuration";
import { type Clock, type EventLog, type Timer } from "@lentilramp/runtime";
import type { StateMachine } from "./agreement-driver.ts";

/** The configuration as the replicated state machine of the control group, with its subscribers. */
export class ReplicatedConfiguration implements StateMachine {
    readonly store = new ConfigurationStore();
    readonly permits = new PermitGrantor();
    readonly drains = new DrainTracker();
    private readonly publisher = new ConfigurationPublisher(this.store, this.permits);
    private readonly answers = new Map<number, (answer: SubscribeAnswer) => void>();
    private nextSubscription = 1;
    private timer: Timer | undefined;
    private leaderTerm: number | undefined;

    constructor(private readonly clock: Clock, private readonly log: EventLog) {}

    get subscriptionCount(): number {
        return this.publisher.pendingCount;
    }

    /** Term in which this process leads and has applied all earlier entries, else undefined. */
    get readyTerm(): number | undefined {
        return this.permits.mayGrant(this.clock.now()) ? this.leaderTerm : undefined;
    }

    now(): number {
        return this.clock.now();
    }

    apply(text: string, index: number): CommandResult {
        const command = commandSchema.parse(JSON.parse(text));
        const before = this.store.version;
        const result = this.store.apply(command, index);
        this.observeDrains(command, result);
        if (this.store.version !== before) {
            this.log.info("configuration.applied", { version: this.store.version, index });
            this.publish();
        }
        return result;
    }

    snapshot(): string {
        return JSON.stringify(this.store.snapshot());
    }

    restore(state: string): void {
        const restored = this.store.restore(JSON.parse(state));
        if (restored.isErr()) {
            throw new Error(`snapshot refused: ${restored.error.message}`);
        }
        this.publish();
    }

    onEntryApplied(entry: Entry): void {
        if (this.leaderTerm === entry.term) {
            this.permits.onCurrentTermApplied();
        }
    }

    onRole(role: Role, term: number): void {
        if (role === "leader") {
            this.leaderTerm = term;
            this.permits.onElected();
            this.drains.onElected(this.clock.now());
        }
        else {
            this.leaderTerm = undefined;
            this.permits.onDeposed();
            this.drains.onDeposed();
        }
    }

    onLease(until: number | undefined): void {
        if (until !== undefined) {
            this.permits.onLease(until);
        }
    }

    /** Resolves with the answer of a subscription, at once when a newer version exists. */
    subscribe(req: SubscribeRequest): Promise<SubscribeAnswer> {
        return new Promise(resolve => {
            const id = this.nextSubscription++;
            this.answers.set(id, resolve);
            this.deliver(this.publisher.subscribe(id, req, this.clock.now()));
            this.schedule();
        });
    }

    /** Answers all waiting subscriptions. */
    close(): void {
        this.timer?.cancel();
        this.deliver(this.publisher.drain(this.clock.now()));
    }

    private publish(): void {
        this.deliver(this.publisher.publish(this.clock.now()));
        this.schedule();
    }

    private deliver(effects: ReturnType<ConfigurationPublisher["publish"]>): void {
        for (const { id, answer } of effects) {
            const resolve = this.answers.get(id);
            this.answers.delete(id);
            resolve?.(answer);
        }
    }

    private schedule(): void {
        this.timer?.cancel();
        const next = this.publisher.nextInstant();
        this.timer = next === undefined ? undefined : this.clock.schedule(next, () => this.publish());
    }

    private observeDrains(command: Command, result: CommandResult): void {
        if (!result.ok) {
            return;
        }
        const now = this.clock.now();
        if (command.type === "drain-endpoint") {
            this.drains.onDrainApplied("endpoint", command.endpoint, now);
        }
        else if (command.type === "hand-over" && command.step === "draining") {
            this.drains.onDrainApplied(command.kind, command.id, now);
        }
        else if (command.type === "hand-over" && command.step === "transferred") {
            this.drains.remove(command.kind, command.id);
        }
    }
}
