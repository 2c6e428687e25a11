/**
 * The entry process: address lookup, admission, relay.
 */
export {};
