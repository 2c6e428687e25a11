import type { SubscribeAnswer, SubscribeRequest } from "./messages.ts";
import type { PermitSource, PublishedState } from "./published-state.ts";

/** Answer that the caller sends now to the subscription `id`. */
export interface PublisherEffect {
    id: number;
    answer: SubscribeAnswer;
}

interface PendingSubscription {
    request: SubscribeRequest;
    receivedAt: number;
    dueAt: number;
}

/**
 * Answers subscriptions: at once when the subscriber lacks the published version, else when a newer version exists or
 * the wait of the subscription ends. The caller calls `publish` after each change and at the instant of `nextInstant`.
 */
export class ConfigurationPublisher {
    private readonly pending = new Map<number, PendingSubscription>();

    constructor(private readonly state: PublishedState, private readonly permits: PermitSource) {}

    /** Answers a subscription or keeps it pending. The caller chooses `id`, which the effects contain. */
    subscribe(id: number, request: SubscribeRequest, now: number): PublisherEffect[] {
        if (this.isDue(request)) {
            return [{ id, answer: this.answer(request, now, now) }];
        }
        this.pending.set(id, { request, receivedAt: now, dueAt: now + request.waitMs });
        return [];
    }

    /** Removes a subscription whose connection was closed. */
    cancel(id: number): void {
        this.pending.delete(id);
    }

    /** Answers the subscriptions for which a newer version exists or whose wait has ended. */
    publish(now: number): PublisherEffect[] {
        const effects: PublisherEffect[] = [];
        for (const [id, { request, receivedAt, dueAt }] of this.pending) {
            if (dueAt <= now || this.isDue(request)) {
                this.pending.delete(id);
                effects.push({ id, answer: this.answer(request, receivedAt, now) });
            }
        }
        return effects;
    }

    /** Answers all pending subscriptions before the process closes. */
    drain(now: number): PublisherEffect[] {
        this.pending.forEach(subscription => subscription.dueAt = now);
        return this.publish(now);
    }

    /** Returns the earliest instant at which the wait of a pending subscription ends, or undefined without any. */
    nextInstant(): number | undefined {
        let earliestDueAt: number | undefined;
        for (const { dueAt } of this.pending.values()) {
            earliestDueAt = Math.min(earliestDueAt ?? dueAt, dueAt);
        }
        return earliestDueAt;
    }

    get pendingCount(): number {
        return this.pending.size;
    }

    private isDue(request: SubscribeRequest): boolean {
        return this.state.version > request.version || (request.full === true && this.state.version > 0);
    }

    private answer(request: SubscribeRequest, receivedAt: number, now: number): SubscribeAnswer {
        const { version } = this.state;
        const answer: SubscribeAnswer = { version, controlTime: now };
        const permitMs = this.permits.grant(receivedAt, now);
        if (permitMs !== undefined) {
            answer.permitMs = permitMs;
        }
        if (request.full !== true && request.version >= version) {
            return answer;
        }
        const needsFullTransfer = request.full === true || request.version === 0;
        const increments = needsFullTransfer ? undefined : this.state.incrementsSince(request.version);
        return increments === undefined
            ? { ...answer, full: this.state.configuration }
            : { ...answer, increments };
    }
}
