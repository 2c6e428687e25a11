/**
 * Settings schema of a process.
 */
export {};
