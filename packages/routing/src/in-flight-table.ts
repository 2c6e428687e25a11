import type { Priority } from "./endpoint.ts";
import { priorities } from "./endpoint.ts";

interface Attempt {
    endpoint: string;
    sentAt: number;
    priority: Priority;
    /** Prompt tokens that are still to be computed; 0 after the first token of the response. */
    promptTokens: number;
}

/** Tracks the attempts that this entry has in flight at its endpoints. */
export class InFlightTable {
    private readonly attemptsByEndpoint = new Map<string, Map<string, Attempt>>();
    private readonly attemptsById = new Map<string, Attempt>();

    /** Records a dispatch; `attemptId` identifies one attempt of one request. */
    recordDispatch(attemptId: string, endpoint: string, priority: Priority, promptTokens: number, now: number): void {
        this.recordEnd(attemptId);
        const attempt = { endpoint, sentAt: now, priority, promptTokens };
        this.attemptsById.set(attemptId, attempt);
        const endpointAttempts = this.attemptsByEndpoint.get(endpoint) ?? new Map<string, Attempt>();
        this.attemptsByEndpoint.set(endpoint, endpointAttempts.set(attemptId, attempt));
    }

    /** Records the first token: the prompt is computed, but the response is still in flight. */
    recordFirstToken(attemptId: string): void {
        const attempt = this.attemptsById.get(attemptId);
        if (attempt !== undefined) {
            attempt.promptTokens = 0;
        }
    }

    /** Records the end of an attempt with any result. */
    recordEnd(attemptId: string): void {
        const attempt = this.attemptsById.get(attemptId);
        if (attempt !== undefined) {
            this.attemptsById.delete(attemptId);
            const endpointAttempts = this.attemptsByEndpoint.get(attempt.endpoint);
            endpointAttempts?.delete(attemptId);
            if (endpointAttempts?.size === 0) {
                this.attemptsByEndpoint.delete(attempt.endpoint);
            }
        }
    }

    /** Returns the number of this entry's requests in flight at the endpoint. */
    requestCount(endpoint: string): number {
        return this.attemptsByEndpoint.get(endpoint)?.size ?? 0;
    }

    /** Returns the number of requests in flight at the endpoint that were sent before `instant`. */
    requestCountSentBefore(endpoint: string, instant: number): number {
        let count = 0;
        for (const attempt of this.attemptsByEndpoint.get(endpoint)?.values() ?? []) {
            count += attempt.sentAt < instant ? 1 : 0;
        }
        return count;
    }

    /** Returns the uncomputed prompt tokens sent before `instant` with `priority` or a higher priority. */
    promptTokens(endpoint: string, priority: Priority, instant = Infinity): number {
        const lowestRank = priorities.indexOf(priority);
        let tokens = 0;
        for (const attempt of this.attemptsByEndpoint.get(endpoint)?.values() ?? []) {
            if (attempt.sentAt < instant && priorities.indexOf(attempt.priority) <= lowestRank) {
                tokens += attempt.promptTokens;
            }
        }
        return tokens;
    }
}
