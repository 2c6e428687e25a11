import type { Priority } from "./endpoint.ts";
import { priorities } from "./endpoint.ts";

interface Attempt {
    endpoint: string;
    sentAt: number;
    priority: Priority;
    /** Prompt tokens to compute; 0 after the first token. */
    promptTokens: number;
}

/** Requests that this entry has in flight at its endpoints. */
export class InFlightTable {
    private readonly byEndpoint = new Map<string, Map<string, Attempt>>();
    private readonly attempts = new Map<string, Attempt>();

    /** Records a dispatch; `attempt` identifies one try of one request. */
    recordDispatch(attempt: string, endpoint: string, priority: Priority, promptTokens: number, now: number): void {
        this.recordEnd(attempt);
        const entry = { endpoint, sentAt: now, priority, promptTokens };
        this.attempts.set(attempt, entry);
        const own = this.byEndpoint.get(endpoint) ?? new Map<string, Attempt>();
        this.byEndpoint.set(endpoint, own.set(attempt, entry));
    }

    /** Records the first token: the prompt has been computed, the answer is still in flight. */
    recordFirstToken(attempt: string): void {
        const entry = this.attempts.get(attempt);
        if (entry !== undefined) {
            entry.promptTokens = 0;
        }
    }

    /** Records the end of an attempt, whatever its result. */
    recordEnd(attempt: string): void {
        const entry = this.attempts.get(attempt);
        if (entry !== undefined) {
            this.attempts.delete(attempt);
            const own = this.byEndpoint.get(entry.endpoint);
            own?.delete(attempt);
            if (own?.size === 0) {
                this.byEndpoint.delete(entry.endpoint);
            }
        }
    }

    /** Number of this entry's requests in flight at the endpoint. */
    requestCount(endpoint: string): number {
        return this.byEndpoint.get(endpoint)?.size ?? 0;
    }

    /** Requests sent to the endpoint before the instant `at` that are still in flight. */
    requestCountSentBefore(endpoint: string, at: number): number {
        let count = 0;
        for (const entry of this.byEndpoint.get(endpoint)?.values() ?? []) {
            count += entry.sentAt < at ? 1 : 0;
        }
        return count;
    }

    /** Prompt tokens in flight at the given priority or a higher one, sent before the instant `before`. */
    promptTokens(endpoint: string, priority: Priority, before = Infinity): number {
        const lowest = priorities.indexOf(priority);
        let tokens = 0;
        for (const entry of this.byEndpoint.get(endpoint)?.values() ?? []) {
            if (entry.sentAt < before && priorities.indexOf(entry.priority) <= lowest) {
                tokens += entry.promptTokens;
            }
        }
        return tokens;
    }
}
