import { z } from "zod";

/** Options of a membership node; durations in ms, sizes in bytes. */
export const membershipOptionsSchema = z.strictObject({
    probeIntervalMs: z.number().positive().default(1_000),
    probeTimeoutMs: z.number().positive().default(200),
    indirectProbes: z.int().min(0).default(3),
    /** A suspicion lasts this many probe intervals, times log10 of the number of members. */
    suspicionFactor: z.number().positive().default(3),
    /** An update is sent this many times, times log10 of the number of members. */
    retransmitFactor: z.number().positive().default(4),
    /** Highest value of the local health score; intervals and timeouts are multiplied by the score plus one. */
    maxLocalHealth: z.int().min(0).default(8),
    /**
     * Updates in one datagram. With 512 bytes the traffic of a node rose to 4 KB/s in the second after the loss of a
     * failure domain at 1,600 nodes.
     */
    maxPiggybackBytes: z.int().positive().default(340),
    /** Members in one page for a joining node; keeps the datagram under 1,200 bytes. */
    maxPageBytes: z.int().positive().default(800),
    /** One member or candidate that is not live is tried this often, so that two sides of a partition meet again. */
    candidateIntervalMs: z.number().positive().default(5_000),
    /** A dead or left member is forgotten after this time; longer than a partition between regions lasts. */
    forgetAfterMs: z.number().positive().default(2 * 3_600_000),
});
export type MembershipOptions = z.infer<typeof membershipOptionsSchema>;
export type MembershipOptionsInput = z.input<typeof membershipOptionsSchema>;
