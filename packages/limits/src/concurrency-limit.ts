/** Limit on the requests in flight, adjusted from latency samples. */
export abstract class ConcurrencyLimit {
    abstract readonly limit: number;

    /** Takes the latency of one request, the requests in flight when it was sent, and whether it succeeded. */
    abstract onSample(latencyMs: number, inFlight: number, ok: boolean): void;
}
