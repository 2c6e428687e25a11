/**
 * Stream assembly, resumption and reclaim planning.
 */
export {};
