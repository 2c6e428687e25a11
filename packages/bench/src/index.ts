/** Experiments and their targets, and the syncs that they and the tests of the leader send. */
export * from "./experiment.ts";
export * from "./fakes/sync-request.ts";
export * from "./registry.ts";
