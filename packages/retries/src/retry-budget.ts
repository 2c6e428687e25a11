export interface RetryBudgetOptions {
    /** Retries and hedges for each request. */
    ratio: number;
    windowMs: number;
    bucketCount: number;
    /** Retries and hedges that a window allows whatever the number of requests. */
    reserve: number;
}

export const retryBudgetDefaults: RetryBudgetOptions = { ratio: 0.1, windowMs: 10_000, bucketCount: 20, reserve: 0 };

/**
 * Budget of retries and hedged requests for one endpoint group: at most a share of the requests of the last
 * seconds. Without a reserve the load offered to the endpoints never exceeds the callers' own by the ratio; with ten
 * or fewer requests in the window nothing is retried.
 */
export class RetryBudget {
    private readonly requests: number[];
    private readonly withdrawals: number[];
    private readonly bucketMs: number;
    private latest = -Infinity;
    private reserve: number;

    constructor(private readonly options: RetryBudgetOptions = retryBudgetDefaults) {
        this.reserve = options.reserve;
        this.requests = Array(options.bucketCount).fill(0);
        this.withdrawals = Array(options.bucketCount).fill(0);
        this.bucketMs = options.windowMs / options.bucketCount;
    }

    /** Changes the reserve, for a budget that several processes share. */
    setReserve(reserve: number): void {
        this.reserve = reserve;
    }

    /** Records the first dispatch of a request; retries and hedges are not recorded here. */
    recordRequest(now: number): void {
        const bucket = this.advance(now);
        this.requests[bucket] = (this.requests[bucket] ?? 0) + 1;
    }

    /** Takes one retry or hedge from the budget; false when it is used up. */
    tryWithdraw(now: number): boolean {
        const bucket = this.advance(now);
        if (sum(this.withdrawals) + 1 >= this.options.ratio * sum(this.requests) + this.reserve) {
            return false;
        }
        this.withdrawals[bucket] = (this.withdrawals[bucket] ?? 0) + 1;
        return true;
    }

    /** Clears the buckets that left the window. Time that goes backwards counts as the latest known time. */
    private advance(now: number): number {
        const current = Math.max(this.latest, Math.floor(now / this.bucketMs));
        const { bucketCount } = this.options;
        for (let bucket = Math.max(this.latest + 1, current - bucketCount + 1); bucket <= current; bucket++) {
            this.requests[bucket % bucketCount] = 0;
            this.withdrawals[bucket % bucketCount] = 0;
        }
        this.latest = current;
        return current % bucketCount;
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
