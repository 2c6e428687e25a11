/**
 * Complete configurations of a fleet under the operator's own number: routes, services, workspaces and limits.
 */
export * from "./catalog-codec.ts";
export * from "./catalog.ts";
export * from "./check-catalog.ts";
export * from "./route-table.ts";
export * from "./workspace-keys.ts";
