/**
 * Replicated configuration of a region: state machine, distribution to subscribers, send permits, duties with leases
 * and fencing numbers.
 */
export * from "./change/apply-change.ts";
export * from "./change/change.ts";
export * from "./change/diff.ts";
export * from "./fencing/fencing-check.ts";
export * from "./fencing/order-gate.ts";
export * from "./permits/drain-tracker.ts";
export * from "./permits/permit-bounds.ts";
export * from "./permits/permit-grantor.ts";
export * from "./permits/send-permit.ts";
export * from "./rules/check-claim-generations.ts";
export * from "./rules/check-references.ts";
export * from "./rules/clock-rate.ts";
export * from "./rules/rule-switches.ts";
export * from "./schema/index.ts";
export * from "./store/command-result.ts";
export * from "./store/command.ts";
export * from "./store/configuration-store.ts";
export * from "./store/state.ts";
export * from "./subscription/configuration-publisher.ts";
export * from "./subscription/configuration-relay.ts";
export * from "./subscription/configuration-view.ts";
export * from "./subscription/messages.ts";
export * from "./subscription/published-state.ts";
export * from "./subscription/publisher-selector.ts";
export * from "./subscription/subscription-wait.ts";
