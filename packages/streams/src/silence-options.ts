import { z } from "zod";

/** Options of the detection of silent connections; docs/design.md, question 3. */
export const silenceOptions = z.object({
    /** Silence after which the endpoint is asked. */
    silenceMs: z.number().positive().default(2_000),
    /** Time from the probe to the verdict; with `silenceMs` this is the detection bound of 3 s. */
    probeTimeoutMs: z.number().positive().default(1_000),
    /**
     * Time in which tokens that the probe's answer overtook can still arrive. The largest one-way delay between
     * failure domains is 5 ms; the rest allows for a TCP retransmission (200 ms at least).
     */
    confirmMs: z.number().min(0).default(300),
});

export type SilenceOptions = z.infer<typeof silenceOptions>;
