/**
 * At-most-once execution of non-idempotent calls.
 */
export * from "./claim-coordinator.ts";
export * from "./claim-replica.ts";
export * from "./claim-rules.ts";
export { RECORD_MEMORY_BYTES } from "./claim-table.ts";
export * from "./claim-transport.ts";
export * from "./claim.ts";
export * from "./constants.ts";
export * from "./coordinator-options.ts";
export * from "./durable-claim-replica.ts";
export * from "./generations.ts";
export * from "./key-state.ts";
export * from "./messages.ts";
export * from "./outcome.ts";
export * from "./register-update-codec.ts";
export * from "./request-digest.ts";
export * from "./request-key.ts";
