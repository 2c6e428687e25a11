/**
 * Catalog of a fleet: its routes, services, workspaces and limits under a version number that the operator assigns.
 */
export * from "./catalog-codec.ts";
export * from "./catalog.ts";
export * from "./check-catalog.ts";
export * from "./route-table.ts";
export * from "./workspace-keys.ts";
