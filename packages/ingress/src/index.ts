/**
 * The ingress of a fleet: relays requests of any method, path and body from callers to endpoints.
 */
export * from "./caller-cuts.ts";
export * from "./caller-server.ts";
export * from "./endpoint-list-fallback.ts";
export * from "./endpoint-pool.ts";
export * from "./event-loop-load.ts";
export * from "./event-splitter.ts";
export * from "./exchange-feed.ts";
export * from "./exchange-messages.ts";
export * from "./exchange-subscriber.ts";
export * from "./fleet-sync.ts";
export * from "./fleet-view.ts";
export * from "./ingress-options.ts";
export * from "./ingress-policy.ts";
export * from "./origin-lookup.ts";
export * from "./peer-selection.ts";
export * from "./reach-monitor.ts";
export * from "./relay-context.ts";
export * from "./relay.ts";
export * from "./request-fingerprint.ts";
export * from "./request-preview.ts";
export * from "./room-gate.ts";
export * from "./version-renewal.ts";
export * from "./version-split.ts";
