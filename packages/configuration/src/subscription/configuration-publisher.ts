import type { SubscribeAnswer, SubscribeRequest } from "./messages.ts";
import type { PermitSource, PublishedState } from "./published-state.ts";

/** Answer to the subscription `id`, to be sent now. */
export interface PublisherEffect {
    id: number;
    answer: SubscribeAnswer;
}

interface Waiting {
    request: SubscribeRequest;
    receivedAt: number;
    until: number;
}

/**
 * Answers subscriptions from the held version: at once when a newer version exists, else at the wait instant. The
 * caller asks `nextInstant` for its timer, and calls `publish` after each change and at that instant.
 */
export class ConfigurationPublisher {
    private readonly waiting = new Map<number, Waiting>();

    constructor(private readonly state: PublishedState, private readonly permits: PermitSource) {}

    /** Takes a subscription; `id` is chosen by the caller and names it in the effects. */
    subscribe(id: number, request: SubscribeRequest, now: number): PublisherEffect[] {
        if (this.isDue(request)) {
            return [{ id, answer: this.answer(request, now, now) }];
        }
        this.waiting.set(id, { request, receivedAt: now, until: now + request.waitMs });
        return [];
    }

    /** Forgets a subscription whose connection was closed. */
    cancel(id: number): void {
        this.waiting.delete(id);
    }

    /** Answers the subscriptions for which a newer version exists or whose wait has ended. */
    publish(now: number): PublisherEffect[] {
        const effects: PublisherEffect[] = [];
        for (const [id, { request, receivedAt, until }] of this.waiting) {
            if (until <= now || this.isDue(request)) {
                this.waiting.delete(id);
                effects.push({ id, answer: this.answer(request, receivedAt, now) });
            }
        }
        return effects;
    }

    /** Answers all waiting subscriptions, before the process closes. */
    drain(now: number): PublisherEffect[] {
        this.waiting.forEach(entry => entry.until = now);
        return this.publish(now);
    }

    /** Earliest instant at which `publish` has something to do without a change. */
    nextInstant(): number | undefined {
        let earliest: number | undefined;
        for (const { until } of this.waiting.values()) {
            earliest = Math.min(earliest ?? until, until);
        }
        return earliest;
    }

    get waitingCount(): number {
        return this.waiting.size;
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
        const known = request.full === true || request.version === 0;
        const increments = known ? undefined : this.state.incrementsSince(request.version);
        return increments === undefined
            ? { ...answer, full: this.state.configuration }
            : { ...answer, increments };
    }
}
