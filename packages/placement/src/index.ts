/**
 * Plans which instances to run and which weights to load on them.
 */
export * from "./capacity-model.ts";
export * from "./class-choice.ts";
export * from "./demand-forecast.ts";
export * from "./domain-changes.ts";
export * from "./duty-lease.ts";
export * from "./market-policy.ts";
export * from "./operation-id.ts";
export * from "./options.ts";
export * from "./placement-planner.ts";
export * from "./reclaim-rate.ts";
export * from "./role-assignment.ts";
export * from "./sliding-maximum.ts";
export * from "./spread-policy.ts";
export * from "./types.ts";
export * from "./weight-load-schedule.ts";
export * from "./weight-store-limiter.ts";
