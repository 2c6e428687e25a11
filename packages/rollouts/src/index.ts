/**
 * Decisions on roll-outs of software versions: the order, its replicated state, the evidence on versions, and the
 * verdict.
 */
export * from "./response-times.ts";
export * from "./rollout-book.ts";
export * from "./rollout-judge.ts";
export * from "./rollout-messages.ts";
export * from "./rollout-options.ts";
export * from "./rollout-order.ts";
export * from "./rollout-reports.ts";
export * from "./share-plan.ts";
export * from "./version-evidence.ts";
export * from "./version-results.ts";
