/**
 * What ingresses, stewards and the platform adapter share: the messages of a sync, and the adapter's interface.
 */
export * from "./body-fields.ts";
export * from "./fleet-messages.ts";
export * from "./hop-by-hop-headers.ts";
export * from "./platform-adapter.ts";
export * from "./where-messages.ts";
