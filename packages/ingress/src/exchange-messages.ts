import type { EndpointLoad } from "@lentilramp/dispatch";
import { crashNewsSchema } from "@lentilramp/fleet";
import { z } from "zod";

/** Path of the feed on the inner server of an ingress; the query holds the subscriber's name and the feed's scope. */
export const exchangePath = "/exchange";

export const exchangeScopeSchema = z.enum(["own", "group", "fleet"]);

/** One line of a feed: a full snapshot in the first line, an increment in each later one. */
export const exchangeLineSchema = z.object({
    /** Unique id of the sender's run of the process; in the first line only. */
    lifetime: z.string().optional(),
    /** Number of ingresses whose load and cap usage the feed contains. */
    covered: z.int().nonnegative(),
    /** Running requests and unread tokens by endpoint. */
    load: z.record(z.string(), z.tuple([z.number(), z.number()])).optional(),
    /** Units used of caps since the start of the process, by workspace. */
    used: z.record(z.string(), z.number()).optional(),
    /** Requests that the sender has lost in crashes of endpoints since the last line; in lines of scope `own` only. */
    lost: z.array(crashNewsSchema).optional(),
});
export type ExchangeLine = z.infer<typeof exchangeLineSchema>;

/** Returns the entries of `current` that differ from `sent`; an endpoint that is missing in `current` has zero load. */
export function changedLoad(
    sent: ReadonlyMap<string, EndpointLoad>,
    current: ReadonlyMap<string, EndpointLoad>,
): ExchangeLine["load"] {
    const load: Record<string, [number, number]> = {};
    for (const [id, { running, unreadTokens }] of current) {
        const previous = sent.get(id);
        if (previous?.running !== running || previous.unreadTokens !== unreadTokens) {
            load[id] = [running, unreadTokens];
        }
    }
    for (const id of sent.keys()) {
        if (!current.has(id)) {
            load[id] = [0, 0];
        }
    }
    return nonEmpty(load);
}

/** Returns the sums of `current` that differ from `sent`. */
export function changedUsage(
    sent: ReadonlyMap<string, number>,
    current: ReadonlyMap<string, number>,
): ExchangeLine["used"] {
    const used: Record<string, number> = {};
    for (const [workspace, units] of current) {
        if (sent.get(workspace) !== units) {
            used[workspace] = units;
        }
    }
    return nonEmpty(used);
}

function nonEmpty<T extends object>(record: T): T | undefined {
    return Object.keys(record).length === 0 ? undefined : record;
}
