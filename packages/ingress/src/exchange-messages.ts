import type { EndpointLoad } from "@lentilramp/dispatch";
import { z } from "zod";

/** Path of the feed on the inner server of an ingress; the query names the follower and what it wants to know. */
export const exchangePath = "/exchange";

export const exchangeScopeSchema = z.enum(["own", "group", "fleet"]);

/** One line of a feed: what changed, or all of it in the first line. */
export const exchangeLineSchema = z.object({
    /** Names the run of the process that speaks; in the first line only. */
    lifetime: z.string().optional(),
    /** Ingresses whose load and use are contained. */
    covered: z.int().nonnegative(),
    /** Running requests and unread tokens by endpoint. */
    load: z.record(z.string(), z.tuple([z.number(), z.number()])).optional(),
    /** Units used of caps since the start of the process, by workspace. */
    used: z.record(z.string(), z.number()).optional(),
});
export type ExchangeLine = z.infer<typeof exchangeLineSchema>;

/** Entries of `present` that differ from those of `told`; what is gone is told as no load. */
export function changedLoad(
    told: ReadonlyMap<string, EndpointLoad>,
    present: ReadonlyMap<string, EndpointLoad>,
): ExchangeLine["load"] {
    const load: Record<string, [number, number]> = {};
    for (const [id, { running, unreadTokens }] of present) {
        const before = told.get(id);
        if (before?.running !== running || before.unreadTokens !== unreadTokens) {
            load[id] = [running, unreadTokens];
        }
    }
    for (const id of told.keys()) {
        if (!present.has(id)) {
            load[id] = [0, 0];
        }
    }
    return nonEmpty(load);
}

/** Sums of `present` that differ from those of `told`. */
export function changedUsage(
    told: ReadonlyMap<string, number>,
    present: ReadonlyMap<string, number>,
): ExchangeLine["used"] {
    const used: Record<string, number> = {};
    for (const [workspace, units] of present) {
        if (told.get(workspace) !== units) {
            used[workspace] = units;
        }
    }
    return nonEmpty(used);
}

function nonEmpty<T extends object>(record: T): T | undefined {
    return Object.keys(record).length === 0 ? undefined : record;
}
