import { z } from "zod";

const milliseconds = z.number().int().positive();

export const coordinatorOptionsSchema = z.object({
    /** Longest time for the writes of a claim; a claim normally takes one round trip and a sync. */
    claimMs: milliseconds.default(1_000),
    /** Time kept back before the deadline to settle a claim that got no quorum. */
    settleMs: milliseconds.default(300),
    /** Time after which a message without a reply is sent again. */
    resendMs: milliseconds.default(100),
    /** Time for which an outcome is sent again until two replicas hold it. */
    outcomeMs: milliseconds.default(10_000),
}).prefault({});

export type CoordinatorOptions = z.infer<typeof coordinatorOptionsSchema>;
