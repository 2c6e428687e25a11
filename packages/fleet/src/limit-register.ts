import { z } from "zod";
import type { EndpointLifetime } from "./endpoint-directory.ts";

/**
 * Rate at which an endpoint with a lower limit is still asked, in requests per second; only an answer can tell that the
 * limit has ended.
 */
const minPermittedPerSecond = 0.2;
/** Limit above which an endpoint counts as limited to this rate, in requests per second; keeps permits countable. */
const maxPermittedPerSecond = 100_000;

/** Returns the rate at which the fleet may send to an endpoint that names a limit, in requests per second. */
export function permittedRate(limitPerSecond: number): number {
    return Math.min(maxPermittedPerSecond, Math.max(minPermittedPerSecond, limitPerSecond));
}

/** What an endpoint stated about the requests that it takes from the whole fleet. */
export interface LimitStatement {
    /** Requests per second; undefined if the endpoint states no limit any more. */
    perSecond: number | undefined;
    /** Start of the lifetime of the endpoint that made the statement, if it is known. */
    startedAt: number | undefined;
    /** Instant of the statement on the clock of this process. */
    at: number;
}

/** A statement as it travels between processes. */
export const limitReportSchema = z.object({
    /** Requests per second that the endpoint takes from all ingresses; absent if it has lifted its limit. */
    perSecond: z.number().nonnegative().optional(),
    startedAt: z.number().optional(),
    /** Age of the statement when the message was sent, in milliseconds. */
    ageMs: z.number(),
});
export type LimitReport = z.infer<typeof limitReportSchema>;

/** A limit that a report has changed. */
export interface LimitChange {
    endpoint: string;
    perSecond: number | undefined;
}

/** The latest statement of each endpoint about its limit. The newest one wins, in whichever order they arrive. */
export class LimitRegister {
    private readonly statements = new Map<string, LimitStatement>();

    /** Takes over a statement unless a newer one is known; returns whether the limit of the endpoint has changed. */
    merge(endpoint: string, statement: LimitStatement): boolean {
        const known = this.statements.get(endpoint);
        if (known !== undefined && known.at >= statement.at) {
            return false;
        }
        this.statements.set(endpoint, statement);
        return known?.perSecond !== statement.perSecond;
    }

    /** Takes over the statements of a message; `sentAt` is the instant from which their ages count. */
    mergeReports(reports: Readonly<Record<string, LimitReport>>, sentAt: number): LimitChange[] {
        const changes: LimitChange[] = [];
        for (const [endpoint, { perSecond, startedAt, ageMs }] of Object.entries(reports)) {
            if (this.merge(endpoint, { perSecond, startedAt, at: sentAt - ageMs })) {
                changes.push({ endpoint, perSecond });
            }
        }
        return changes;
    }

    /** Returns all statements for a message that is sent now. */
    reports(now: number): Record<string, LimitReport> {
        return Object.fromEntries(
            [...this.statements].map((
                [id, { perSecond, startedAt, at }],
            ) => [id, { perSecond, startedAt, ageMs: now - at }]),
        );
    }

    /** Returns the limit of an endpoint in requests per second, or undefined if it has none. */
    limitOf(endpoint: string): number | undefined {
        return this.statements.get(endpoint)?.perSecond;
    }

    entries(): Iterable<[string, LimitStatement]> {
        return this.statements.entries();
    }

    /**
     * Drops the statements of endpoints that `endpoints` does not contain in the lifetime that made them, and returns
     * their ids.
     */
    retain(endpoints: readonly EndpointLifetime[]): string[] {
        const startTimes = new Map(endpoints.map(({ id, startedAt }) => [id, startedAt]));
        const dropped = [...this.statements]
            .filter(([id, { startedAt }]) => !startTimes.has(id) || startTimes.get(id) !== startedAt)
            .map(([id]) => id);
        dropped.forEach(id => this.statements.delete(id));
        return dropped;
    }
}
