import { isDeepStrictEqual } from "node:util";
import type { Configuration } from "../schema/index.ts";

/** Tolerance of 5 min for keys issued ahead of time, plus 10 s; a held configuration is at most 2.5 s old. */
export const claimGenerationLeadMs = 310_000;
/** Outcomes are kept for 24 h from the key's issue time; a superseded generation is needed until then. */
export const claimRetentionMs = 24 * 3_600_000;

/**
 * Returns one message for each claim generation that is changed, removed while keys may still select it, or added
 * too late. `at` is the instant of the proposal and is compared with issue times, which are wall clock times.
 */
export function checkClaimGenerations(current: Configuration, proposed: Configuration, at: number): string[] {
    const problems: string[] = [];
    const kept = new Map(proposed.claimGenerations.map(generation => [generation.generation, generation]));
    const ordered = [...current.claimGenerations].sort((a, b) => a.generation - b.generation);
    ordered.forEach((generation, position) => {
        const successor = ordered[position + 1];
        const replacement = kept.get(generation.generation);
        if (replacement === undefined) {
            const expired = successor !== undefined
                && at > successor.fromIssueTime + claimRetentionMs + claimGenerationLeadMs;
            if (!expired) {
                problems.push(`claim generation ${generation.generation} may still be selected by keys`);
            }
        }
        else if (!isDeepStrictEqual(replacement, generation)) {
            problems.push(`claim generation ${generation.generation} was changed; add a new generation instead`);
        }
    });
    const newest = ordered.at(-1);
    if (newest === undefined) {
        return problems;
    }
    let previous = newest;
    const known = new Set(ordered.map(generation => generation.generation));
    const added = proposed.claimGenerations.filter(generation => !known.has(generation.generation));
    for (const generation of added.sort((a, b) => a.generation - b.generation)) {
        if (generation.generation < previous.generation || generation.fromIssueTime <= previous.fromIssueTime) {
            problems.push(`claim generation ${generation.generation} does not follow ${previous.generation}`);
        }
        if (generation.fromIssueTime < at + claimGenerationLeadMs) {
            problems.push(
                `claim generation ${generation.generation} starts less than ${claimGenerationLeadMs} ms from now`,
            );
        }
        previous = generation;
    }
    return problems;
}
