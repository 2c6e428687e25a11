import type { Priority } from "./endpoint.ts";
import { priorities } from "./endpoint.ts";

/** Load that an engine published, received with a delay. */
export interface LoadReport {
    /** Instant of the measurement on this entry's clock: the receipt time minus the age stated in the report. */
    measuredAt: number;
    /** Queued prompt tokens that are not computed yet, by priority. */
    waitingTokens: Readonly<Record<Priority, number>>;
    /** Number of queued and running requests. */
    requests: number;
    /** Prompt tokens computed per millisecond while prompts are queued. */
    prefillTokensPerMs: number;
}

/** Returns the number of queued prompt tokens that are computed before a new request of the given priority. */
export function tokensAhead(report: LoadReport, priority: Priority): number {
    const lowestRank = priorities.indexOf(priority);
    return priorities.reduce((sum, other, rank) => rank <= lowestRank ? sum + report.waitingTokens[other] : sum, 0);
}

/** Holds the latest load report of each endpoint. */
export class LoadReportTable {
    private readonly reports = new Map<string, LoadReport>();

    /** Stores the report unless a newer measurement is stored already; reports can arrive out of order. */
    accept(endpoint: string, report: LoadReport): void {
        const latest = this.reports.get(endpoint);
        if (latest === undefined || latest.measuredAt < report.measuredAt) {
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
