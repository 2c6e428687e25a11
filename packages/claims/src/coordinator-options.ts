import { z } from "zod";

const milliseconds = z.number().int().positive();

export const coordinatorOptionsSchema = z.object({
    /** Maximum time for the writes of a claim; a claim normally takes one round trip and a sync. */
    claimMs: milliseconds.default(1_000),
    /** Time reserved before the deadline to settle a claim that got no quorum. */
    settleMs: milliseconds.default(300),
    /** Time after which a message without a reply is sent again. */
    resendMs: milliseconds.default(100),
    /** Maximum time for which an outcome is resent to the replicas; two of them must hold it. */
    outcomeMs: milliseconds.default(10_000),
}).prefault({});

export type CoordinatorOptions = z.infer<typeof coordinatorOptionsSchema>;
