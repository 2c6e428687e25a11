import type { Configuration, HandOverKind } from "@lentilramp/configuration";
import type { RpcClient } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";
import { z } from "zod";

const callTimeoutMs = 500;
export const inFlightAnswerSchema = z.object({ inFlight: z.int().min(0) });

/** Counts the in-flight requests of an endpoint, service or workspace over all entries. */
export class InFlightCounter {
    constructor(private readonly client: RpcClient, private readonly clock: Clock) {}

    /** Returns the sum over all entries, or undefined if an entry does not respond or no entry is configured. */
    async count(configuration: Configuration, kind: HandOverKind, id: string): Promise<number | undefined> {
        if (configuration.entries.length === 0) {
            return undefined;
        }
        const deadline = this.clock.now() + callTimeoutMs;
        const counts = await Promise.all(
            configuration.entries.map(entry =>
                this.client.call(entry, "entry.inFlight", { kind, id }, inFlightAnswerSchema, deadline)
                    .then(answer => answer.inFlight)
                    .catch(() => undefined)
            ),
        );
        return counts.reduce<number | undefined>(
            (sum, count) => sum === undefined || count === undefined ? undefined : sum + count,
            0,
        );
    }
}
