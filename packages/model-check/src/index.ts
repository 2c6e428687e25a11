/**
 * Explicit-state model checker and the protocol specification.
 */
export {};
