/**
 * Endpoint selection policies.
 */
export {};
