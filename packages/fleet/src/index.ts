/**
 * Functions of a whole fleet of ingresses: endpoint directory, roster, exchange topology, caps, usage counts and
 * replica planning.
 */
export * from "./cap-bucket.ts";
export * from "./cap-meter.ts";
export * from "./cap-use-totals.ts";
export * from "./catalog-freshness.ts";
export * from "./crash-evidence.ts";
export * from "./crash-judge.ts";
export * from "./crash-news.ts";
export * from "./demand-forecast.ts";
export * from "./endpoint-directory.ts";
export * from "./exchange-topology.ts";
export * from "./feed-pace.ts";
export * from "./ingress-capacity.ts";
export * from "./limit-allocator.ts";
export * from "./limit-permits.ts";
export * from "./limit-register.ts";
export * from "./limit-turns.ts";
export * from "./lookup-ingresses.ts";
export * from "./median-clock.ts";
export * from "./origin-reporter.ts";
export * from "./own-record.ts";
export * from "./pace-merge.ts";
export * from "./planner-policy.ts";
export * from "./prompt-crashes.ts";
export * from "./replica-planner.ts";
export * from "./roster.ts";
export * from "./spare-cap-estimate.ts";
export * from "./stream-origins.ts";
export * from "./sync-backlog.ts";
export * from "./sync-timing.ts";
export * from "./usage-ledger.ts";
export * from "./usage-windows.ts";
export * from "./version-announcements.ts";
export * from "./version-history.ts";
export * from "./weighted-lookup.ts";
