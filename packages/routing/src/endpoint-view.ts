import type { Endpoint } from "./endpoint.ts";
import type { InFlightTable } from "./in-flight-table.ts";
import type { Link } from "./link-table.ts";
import type { LoadReport } from "./load-report.ts";

/** What a policy may read about the endpoints of one entry. */
export interface EndpointView {
    readonly endpoints: readonly Endpoint[];
    readonly inFlight: Pick<InFlightTable, "requestCount" | "requestCountSentBefore" | "promptTokens">;
    report(endpoint: string): LoadReport | undefined;
    /** Number of leading blocks of `prefix` presumed cached at the endpoint. */
    matchedBlocks(endpoint: string, prefix: readonly number[], now: number): number;
    /** Those of the endpoints that are not ejected, or all of them when all are. */
    usableEndpoints(endpoints: readonly Endpoint[], now: number): readonly Endpoint[];
    /** Recent latency of the endpoint in milliseconds, if known. */
    latencyMs(endpoint: string, now: number): number | undefined;
    /** Link from this entry to a failure domain. */
    link(failureDomain: string): Link;
}
