/**
 * Replicated configuration, its distribution, send permits, duties and fencing numbers.
 */
export {};
