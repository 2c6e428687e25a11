/**
 * Retry policies, retry budgets, backoff and hedging.
 */
export * from "./backoff.ts";
export * from "./budgeted-retry-policy.ts";
export * from "./hedging-policy.ts";
export * from "./retry-budget.ts";
export * from "./retry-policy.ts";
export * from "./retry-rules.ts";
export * from "./return-spacing.ts";
