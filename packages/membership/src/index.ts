/**
 * Failure detection among entry instances.
 */
export {};
