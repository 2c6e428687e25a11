/**
 * Experiments and their targets.
 */
export {};
