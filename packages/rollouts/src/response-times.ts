/** Buckets for each doubling of the time. */
const bucketsPerDoubling = 4;
/** Highest bucket, which also holds all longer times; over 17 minutes. */
const maxBucket = 80;

/** Returns the bucket of a time of at least 0 milliseconds; the bounds of buckets grow by the factor 2^(1/4). */
export function timeBucket(timeMs: number): number {
    const bucket = Math.floor(Math.log2(Math.max(1, timeMs)) * bucketsPerDoubling);
    return Number.isNaN(bucket) ? 0 : Math.min(maxBucket, bucket);
}

/** Returns the lowest bucket all of whose times are at least `factor` times longer than those of `bucket`. */
export function slowBucket(bucket: number, factor: number): number {
    return bucket + 1 + Math.ceil(Math.log2(factor) * bucketsPerDoubling);
}

/** Number of times by bucket. */
export type TimeCounts = ReadonlyMap<number, number>;

/** Adds the counts of `added` to `sum`. */
export function addTimes(sum: Map<number, number>, added: TimeCounts): void {
    for (const [bucket, count] of added) {
        sum.set(bucket, (sum.get(bucket) ?? 0) + count);
    }
}

export function countTimes(times: TimeCounts): number {
    return countTimesFrom(times, 0);
}

/** Returns the number of times in the buckets from `lowest` on. */
export function countTimesFrom(times: TimeCounts, lowest: number): number {
    let sum = 0;
    for (const [bucket, count] of times) {
        sum += bucket >= lowest ? count : 0;
    }
    return sum;
}

/** Returns the bucket of the median, or undefined without times. */
export function medianBucket(times: TimeCounts): number | undefined {
    const half = countTimes(times) / 2;
    let sum = 0;
    for (const [bucket, count] of [...times].sort(([one], [other]) => one - other)) {
        sum += count;
        if (sum >= half && count > 0) {
            return bucket;
        }
    }
    return undefined;
}
