/** Control process: a voter of the agreement group and a claim replica. */
export * from "./agreement-driver.ts";
export * from "./agreement-messages.ts";
export * from "./agreement-storage.ts";
export * from "./claim-generation-updater.ts";
export * from "./claim-service.ts";
export * from "./command-proposer.ts";
export * from "./control-error.ts";
export * from "./control-methods.ts";
export * from "./group-founding.ts";
export * from "./in-flight-counter.ts";
export * from "./join-requester.ts";
export * from "./member-address.ts";
export * from "./membership-repair.ts";
export * from "./placement/index.ts";
export * from "./replicated-configuration.ts";
export * from "./rpc-transport.ts";
