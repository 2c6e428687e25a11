import { z } from "zod";

/** Options of the detection of silent connections; see docs/design.md, question 3. */
export const silenceOptions = z.object({
    /** Time without a byte after which the endpoint is probed. */
    silenceMs: z.number().positive().default(2_000),
    /** Maximum time from the probe to the result; with `silenceMs` this is the detection bound of 3 s. */
    probeTimeoutMs: z.number().positive().default(1_000),
    /**
     * Time in which tokens that were overtaken by the answer to the probe can still arrive. The largest one-way delay
     * between failure domains is 5 ms; the rest allows for a TCP retransmission, which takes at least 200 ms.
     */
    confirmMs: z.number().min(0).default(300),
});

export type SilenceOptions = z.infer<typeof silenceOptions>;
