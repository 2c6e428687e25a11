import { permitReserveMs } from "./subscription-wait.ts";

/** A publisher that failed is used again after this time, unless no other is left. */
export const publisherBackoffMs = 30_000;

/**
 * Chooses the publisher (voter or relay) that a subscriber asks. The order of preference differs between subscribers,
 * which spreads them; a subscriber comes back to its preferred publisher once that has recovered.
 */
export class PublisherSelector {
    private readonly avoidUntil = new Map<string, number>();

    constructor(private readonly preferred: readonly string[]) {}

    /** Returns the most preferred publisher that is not avoided, else the one that is avoided for the shortest time. */
    select(now: number): string | undefined {
        const until = (id: string) => this.avoidUntil.get(id) ?? 0;
        return this.preferred.find(id => until(id) <= now)
            ?? [...this.preferred].sort((a, b) => until(a) - until(b))[0];
    }

    /** The publisher answered; one whose permit is nearly over is cut off from the leader and is avoided. */
    onAnswer(id: string, remainingPermitMs: number, now: number): void {
        if (remainingPermitMs < permitReserveMs) {
            this.onFailure(id, now);
        }
        else {
            this.avoidUntil.delete(id);
        }
    }

    /** The publisher did not answer in time. */
    onFailure(id: string, now: number): void {
        this.avoidUntil.set(id, now + publisherBackoffMs);
    }
}
