import { permitReserveMs } from "./subscription-wait.ts";

/** Backoff of a failed publisher. The subscriber uses it earlier only when all publishers are in backoff. */
export const publisherBackoffMs = 30_000;

/**
 * Selects the publisher (voter or relay) for the next request of a subscriber. The order of preference differs between
 * subscribers, which spreads the load. A subscriber returns to its preferred publisher after the backoff.
 */
export class PublisherSelector {
    private readonly backoffEndsAt = new Map<string, number>();

    constructor(private readonly preferred: readonly string[]) {}

    /** Returns the most preferred publisher that isn't in backoff, else the one whose backoff ends first. */
    select(now: number): string | undefined {
        const endOf = (id: string) => this.backoffEndsAt.get(id) ?? 0;
        return this.preferred.find(id => endOf(id) <= now)
            ?? [...this.preferred].sort((a, b) => endOf(a) - endOf(b))[0];
    }

    /**
     * Handles an answer. A publisher whose permits are about to expire is disconnected from the leader, so its answer
     * counts as a failure.
     */
    onAnswer(id: string, remainingPermitMs: number, now: number): void {
        if (remainingPermitMs < permitReserveMs) {
            this.onFailure(id, now);
        }
        else {
            this.backoffEndsAt.delete(id);
        }
    }

    /** Handles a request that the publisher didn't answer in time. */
    onFailure(id: string, now: number): void {
        this.backoffEndsAt.set(id, now + publisherBackoffMs);
    }
}
