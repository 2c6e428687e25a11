/** Bounds of roll-outs. Durations are in milliseconds. */
export interface RolloutOptions {
    /** Part of all requests of a service until the time limit that a bad version may get. */
    exposureShare: number;
    /** Number of requests that a bad version may get in addition to that part. */
    exposureSlack: number;
    /** Time after a bad version's 50th bad response from which it must get no request. */
    rollbackMs: number;
    /** Time within which an operator may send an order again. */
    ackTimeoutMs: number;
}

export const rolloutDefaults: RolloutOptions = {
    exposureShare: 0.1,
    exposureSlack: 50,
    rollbackMs: 5_000,
    ackTimeoutMs: 5_000,
};
