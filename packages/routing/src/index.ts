/**
 * Selects an endpoint for each request.
 */
export * from "./block-hash.ts";
export * from "./cache-map.ts";
export * from "./ejection-table.ts";
export * from "./endpoint-subset.ts";
export * from "./endpoint-table.ts";
export * from "./endpoint-view.ts";
export * from "./endpoint.ts";
export * from "./in-flight-table.ts";
export * from "./latency-aware-policy.ts";
export * from "./latency-table.ts";
export * from "./link-table.ts";
export * from "./load-estimate.ts";
export * from "./load-report.ts";
export * from "./predicted-first-token-policy.ts";
export * from "./prefix-map.ts";
export * from "./routing-policy.ts";
