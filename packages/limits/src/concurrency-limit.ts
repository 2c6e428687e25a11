/** Limit on in-flight requests that adapts to latency samples. */
export abstract class ConcurrencyLimit {
    abstract readonly limit: number;

    /** Records the latency of a request, the number in flight when it was sent, and whether it succeeded. */
    abstract onSample(latencyMs: number, inFlight: number, succeeded: boolean): void;
}
