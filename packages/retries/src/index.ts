/**
 * Retry budgets, back-off and hedging.
 */
export {};
