/**
 * The steward of a fleet: agrees on the catalog, knows the ingresses and the endpoints, and holds the duties.
 */
export * from "./duty-calls.ts";
export * from "./duty-lease.ts";
export * from "./fleet-coordinator.ts";
export * from "./founding.ts";
export * from "./member-retirement.ts";
export * from "./operator-interface.ts";
export * from "./platform-duties.ts";
export * from "./roster-follower.ts";
export * from "./steward-core.ts";
export * from "./steward-methods.ts";
export * from "./steward-options.ts";
export * from "./steward-state.ts";
