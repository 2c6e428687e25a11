/**
 * Fleet-wide admission control: decision modules of the ingresses and of the leading steward, without I/O.
 */
export * from "./admission-level.ts";
export * from "./fair-shares.ts";
export * from "./retry-spread.ts";
export * from "./room-allocator.ts";
export * from "./room-ledger.ts";
export * from "./room-messages.ts";
