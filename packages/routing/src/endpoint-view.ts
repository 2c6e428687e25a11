import type { Endpoint } from "./endpoint.ts";
import type { InFlightTable } from "./in-flight-table.ts";
import type { Link } from "./link-table.ts";
import type { LoadReport } from "./load-report.ts";

/** Read access to the state of an entry's endpoints, for routing policies. */
export interface EndpointView {
    readonly endpoints: readonly Endpoint[];
    readonly inFlight: Pick<InFlightTable, "requestCount" | "requestCountSentBefore" | "promptTokens">;
    /** Returns the latest load report of the endpoint. */
    report(endpoint: string): LoadReport | undefined;
    /** Returns the number of leading blocks of `prefix` that the endpoint is estimated to have cached. */
    matchedBlocks(endpoint: string, prefix: readonly number[], now: number): number;
    /** Returns the endpoints that are not ejected, or all of them if all are ejected. */
    usableEndpoints(endpoints: readonly Endpoint[], now: number): readonly Endpoint[];
    /** Returns the recent latency of the endpoint, or undefined before the first sample. */
    latencyMs(endpoint: string, now: number): number | undefined;
    /** Returns the link from this entry to a failure domain. */
    link(failureDomain: string): Link;
}
