/** Time from the issue of a key for which its record is kept and repeated requests get the stored answer. */
export const RETENTION_MS = 24 * 60 * 60 * 1_000;
/** Maximum time by which the issue time of a key may be ahead of the entry's clock. */
export const ISSUE_TOLERANCE_MS = 5 * 60 * 1_000;
/** Allowed difference between the clocks of an entry and of the control process, in each direction. */
export const CLOCK_TOLERANCE_MS = 5_000;
/**
 * Time from the commit of a claim generation to its first issue time. It covers keys issued ahead of time, the clock
 * tolerance, and entries whose configuration is as old as a send permit allows (2.5 s).
 */
export const GENERATION_DELAY_MS = ISSUE_TOLERANCE_MS + 10_000;
/** Number of replicas of a key, each in another failure domain. */
export const REPLICAS_PER_KEY = 3;
/** Number of replicas that must hold the record of a claimant before it may dispatch the call. */
export const QUORUM = 2;
/** Size of the largest answer body stored with an outcome; of a larger body, only digest and size are stored. */
export const MAX_OUTCOME_BODY_BYTES = 64 * 1024;
