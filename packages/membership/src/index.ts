/** Membership and failure detection among entry instances. */
export * from "./codec.ts";
export * from "./member.ts";
export * from "./membership-node.ts";
export * from "./message.ts";
export * from "./options.ts";
