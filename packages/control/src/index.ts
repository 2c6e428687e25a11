/**
 * The control process: agreement voter and claim replica.
 */
export {};
