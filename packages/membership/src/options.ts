import { z } from "zod";

/** Options of a membership node; durations in ms, sizes in bytes. */
export const membershipOptionsSchema = z.strictObject({
    probeIntervalMs: z.number().positive().default(1_000),
    probeTimeoutMs: z.number().positive().default(200),
    indirectProbes: z.int().min(0).default(3),
    /** Duration of a suspicion in probe intervals, multiplied by log10 of the number of members. */
    suspicionFactor: z.number().positive().default(3),
    /** Number of times that an update is sent, multiplied by log10 of the number of members. */
    retransmitFactor: z.number().positive().default(4),
    /** Largest local health score. Probe intervals and timeouts are multiplied by the score plus one. */
    maxLocalHealth: z.int().min(0).default(8),
    /**
     * Largest total size of the updates in one datagram. With 512 bytes, the traffic of a node rose to 4 KB/s in the
     * second after the failure of a failure domain at 1,600 nodes.
     */
    maxPiggybackBytes: z.int().positive().default(340),
    /** Largest total size of the members in one page, so that the datagram stays below 1,200 bytes. */
    maxPageBytes: z.int().positive().default(800),
    /** Interval at which a member or candidate that is not live is probed, so that a healed partition is detected. */
    candidateIntervalMs: z.number().positive().default(5_000),
    /** Time after which dead and left members are removed; longer than a partition between regions lasts. */
    forgetAfterMs: z.number().positive().default(2 * 3_600_000),
});
export type MembershipOptions = z.infer<typeof membershipOptionsSchema>;
export type MembershipOptionsInput = z.input<typeof membershipOptionsSchema>;
