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

/** Replicated state machine of the control group: holds the configuration and answers subscriptions to it. */
export class ReplicatedConfiguration implements StateMachine {
    readonly store = new ConfigurationStore();
    readonly permits = new PermitGrantor();
    readonly drains = new DrainTracker();
    private readonly publisher = new ConfigurationPublisher(this.store, this.permits);
    private readonly pendingSubscriptions = new Map<number, (answer: SubscribeAnswer) => void>();
    private nextSubscriptionId = 1;
    private publishTimer: Timer | undefined;
    private leaderTerm: number | undefined;

    constructor(private readonly clock: Clock, private readonly log: EventLog) {}

    get subscriptionCount(): number {
        return this.publisher.pendingCount;
    }

    /**
     * The current term if this process is the leader, holds a valid lease and has applied all entries of earlier terms;
     * otherwise undefined.
     */
    get readyTerm(): number | undefined {
        return this.permits.mayGrant(this.clock.now()) ? this.leaderTerm : undefined;
    }

    now(): number {
        return this.clock.now();
    }

    apply(encodedCommand: string, index: number): CommandResult {
        const command = commandSchema.parse(JSON.parse(encodedCommand));
        const previousVersion = this.store.version;
        const result = this.store.apply(command, index);
        this.trackDrains(command, result);
        if (this.store.version !== previousVersion) {
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
            throw new Error(`cannot restore the configuration from the snapshot: ${restored.error.message}`);
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

    onLease(leaseUntil: number | undefined): void {
        if (leaseUntil !== undefined) {
            this.permits.onLease(leaseUntil);
        }
    }

    /** Resolves when a newer version exists or the wait time of the request has passed. */
    subscribe(req: SubscribeRequest): Promise<SubscribeAnswer> {
        return new Promise(resolve => {
            const id = this.nextSubscriptionId++;
            this.pendingSubscriptions.set(id, resolve);
            this.resolveSubscriptions(this.publisher.subscribe(id, req, this.clock.now()));
            this.schedulePublish();
        });
    }

    /** Answers all pending subscriptions, before the process closes. */
    close(): void {
        this.publishTimer?.cancel();
        this.resolveSubscriptions(this.publisher.drain(this.clock.now()));
    }

    private publish(): void {
        this.resolveSubscriptions(this.publisher.publish(this.clock.now()));
        this.schedulePublish();
    }

    private resolveSubscriptions(effects: ReturnType<ConfigurationPublisher["publish"]>): void {
        for (const { id, answer } of effects) {
            const resolve = this.pendingSubscriptions.get(id);
            this.pendingSubscriptions.delete(id);
            resolve?.(answer);
        }
    }

    private schedulePublish(): void {
        this.publishTimer?.cancel();
        const nextPublishAt = this.publisher.nextInstant();
        this.publishTimer = nextPublishAt === undefined
            ? undefined
            : this.clock.schedule(nextPublishAt, () => this.publish());
    }

    private trackDrains(command: Command, result: CommandResult): void {
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
