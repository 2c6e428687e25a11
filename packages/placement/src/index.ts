/**
 * Which instances to hold and what to load on them.
 */
export {};
