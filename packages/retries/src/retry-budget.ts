export interface RetryBudgetOptions {
    /** Retries and hedges allowed per request in the window. */
    ratio: number;
    windowMs: number;
    bucketCount: number;
    /** Retries and hedges allowed per window in addition, regardless of the number of requests. */
    reserve: number;
}

export const retryBudgetDefaults: RetryBudgetOptions = { ratio: 0.1, windowMs: 10_000, bucketCount: 20, reserve: 0 };

/**
 * Budget of retries and hedged requests for one endpoint group: a share of the requests in a sliding window. Without a
 * reserve, retries and hedges add less than the ratio to the callers' load; with the default ratio of 0.1 and ten or
 * fewer requests in the window, nothing is retried.
 */
export class RetryBudget {
    private readonly requests: number[];
    private readonly withdrawals: number[];
    private readonly bucketMs: number;
    private latestBucket = -Infinity;
    private reserveSize: number;
    /** Withdrawals that are kept for attempts which may become necessary. */
    private reserved = 0;

    constructor(private readonly options: RetryBudgetOptions = retryBudgetDefaults) {
        this.reserveSize = options.reserve;
        this.requests = Array(options.bucketCount).fill(0);
        this.withdrawals = Array(options.bucketCount).fill(0);
        this.bucketMs = options.windowMs / options.bucketCount;
    }

    /** Sets the reserve, for a budget that several processes share. */
    setReserve(reserve: number): void {
        this.reserveSize = reserve;
    }

    /** Records the first attempt of a request. Retries and hedges are counted by `tryWithdraw` instead. */
    recordRequest(now: number): void {
        const index = this.advance(now);
        this.requests[index] = (this.requests[index] ?? 0) + 1;
    }

    /** Whether the budget allows one more retry or hedge now, or `count` of them. */
    canWithdraw(now: number, count = 1): boolean {
        this.advance(now);
        return sum(this.withdrawals) + this.reserved + count
            < this.options.ratio * sum(this.requests) + this.reserveSize;
    }

    /** Keeps one withdrawal for an attempt that may become necessary, until `release` is called. */
    reserve(): void {
        this.reserved++;
    }

    release(): void {
        this.reserved--;
    }

    /** Withdraws one retry or hedge from the budget and returns true, or returns false if the budget is exhausted. */
    tryWithdraw(now: number): boolean {
        if (!this.canWithdraw(now)) {
            return false;
        }
        const index = this.advance(now);
        this.withdrawals[index] = (this.withdrawals[index] ?? 0) + 1;
        return true;
    }

    /**
     * Clears the buckets that left the window and returns the index of the current one. If time goes backwards, the
     * latest bucket remains the current one.
     */
    private advance(now: number): number {
        const currentBucket = Math.max(this.latestBucket, Math.floor(now / this.bucketMs));
        const { bucketCount } = this.options;
        for (
            let bucket = Math.max(this.latestBucket + 1, currentBucket - bucketCount + 1);
            bucket <= currentBucket;
            bucket++
        ) {
            this.requests[bucket % bucketCount] = 0;
            this.withdrawals[bucket % bucketCount] = 0;
        }
        this.latestBucket = currentBucket;
        return currentBucket % bucketCount;
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
