/**
 * Commands of the binary and the module that wires the parts.
 */
export {};
