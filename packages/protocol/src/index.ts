/** Messages and transport between the processes of the system. */
export * from "./byte-accumulator.ts";
export * from "./caller-presence.ts";
export * from "./discard-response.ts";
export * from "./format-issues.ts";
export * from "./http-server.ts";
export * from "./json-client.ts";
export * from "./messages/claim-wire.ts";
export * from "./poll-barrier.ts";
export * from "./process-key.ts";
export * from "./read-body.ts";
export * from "./read-scheduler.ts";
export * from "./rpc-client.ts";
export * from "./rpc-error.ts";
export * from "./rpc-server.ts";
