import type { Priority } from "./endpoint.ts";
import { priorities } from "./endpoint.ts";

/** Load published by an engine, received with a lag. */
export interface LoadReport {
    /** Instant of the measurement on this entry's clock: the instant of receipt less the age that the report states. */
    measuredAt: number;
    /** Prompt tokens that wait to be computed, by priority. */
    waitingTokens: Readonly<Record<Priority, number>>;
    /** Requests that wait or run. */
    requests: number;
    /** Prompt tokens computed in a millisecond while prompts wait. */
    prefillTokensPerMs: number;
}

/** Prompt tokens of a report that are computed before a new request of the given priority. */
export function tokensAhead(report: LoadReport, priority: Priority): number {
    const lowest = priorities.indexOf(priority);
    return priorities.reduce((sum, other, rank) => rank <= lowest ? sum + report.waitingTokens[other] : sum, 0);
}

/** Latest load report of each endpoint. */
export class LoadReportTable {
    private readonly reports = new Map<string, LoadReport>();

    /** Keeps the report unless a newer measurement is held, because reports can arrive out of order. */
    accept(endpoint: string, report: LoadReport): void {
        const held = this.reports.get(endpoint);
        if (held === undefined || held.measuredAt < report.measuredAt) {
            this.reports.set(endpoint, report);
        }
    }

    get(endpoint: string): LoadReport | undefined {
        return this.reports.get(endpoint);
    }

    delete(endpoint: string): void {
        this.reports.delete(endpoint);
    }
}
