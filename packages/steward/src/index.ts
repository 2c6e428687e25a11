/**
 * The stewards of a fleet replicate the catalog, keep the ingresses and the endpoints, and their leader performs the
 * platform duties.
 */
export * from "./duty-calls.ts";
export * from "./duty-lease.ts";
export * from "./fleet-coordinator.ts";
export * from "./fleet-factors.ts";
export * from "./fleet-room.ts";
export * from "./founding.ts";
export * from "./member-retirement.ts";
export * from "./operator-interface.ts";
export * from "./platform-duties.ts";
export * from "./rollout-director.ts";
export * from "./rollout-orders.ts";
export * from "./rollout-renewals.ts";
export * from "./roster-follower.ts";
export * from "./steward-core.ts";
export * from "./steward-methods.ts";
export * from "./steward-options.ts";
export * from "./steward-state.ts";
export * from "./suspect-verdicts.ts";
export * from "./sync-server.ts";
export * from "./vote-release.ts";
