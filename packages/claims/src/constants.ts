/** Time from the issue of a key for which its record is kept and copies are answered. */
export const RETENTION_MS = 24 * 60 * 60 * 1_000;
/** Time by which the issue time of a key may be ahead of the entry's clock. */
export const ISSUE_TOLERANCE_MS = 5 * 60 * 1_000;
/** Allowed difference between the clocks of an entry and of the control process, in each direction. */
export const CLOCK_TOLERANCE_MS = 5_000;
/**
 * Time from the commit of a claim generation to its first issue time. It covers keys issued ahead of time, the clock
 * tolerance, and entries whose configuration is as old as a send permit allows (2.5 s).
 */
export const GENERATION_DELAY_MS = ISSUE_TOLERANCE_MS + 10_000;
/** Replicas of a key, one for each failure domain, and the number that must hold a claim. */
export const REPLICAS_PER_KEY = 3;
export const QUORUM = 2;
/** Largest body that is kept as part of an outcome; a larger one is kept as digest and status. */
export const MAX_OUTCOME_BODY_BYTES = 64 * 1024;
