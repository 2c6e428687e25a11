import { isDeepStrictEqual } from "node:util";
import type { Configuration } from "../schema/index.ts";

/**
 * Shortest time between the proposal of a claim generation and its first issue time: the tolerance of 5 min for keys
 * issued ahead of time plus 10 s, which exceeds the greatest age of an entry's configuration (2.5 s).
 */
export const claimGenerationLeadMs = 310_000;
/** Retention of outcomes, counted from the issue time of the key. A superseded generation is needed until then. */
export const claimRetentionMs = 24 * 3_600_000;

/**
 * Returns one message for each claim generation that the proposal changes, removes while keys may still select it, or
 * adds too late or out of order. `proposedAt` is the instant of the proposal; it is compared with issue times, which
 * are wall clock times.
 */
export function checkClaimGenerations(current: Configuration, proposed: Configuration, proposedAt: number): string[] {
    const problems: string[] = [];
    const proposedByNumber = new Map(proposed.claimGenerations.map(generation => [generation.generation, generation]));
    const currentInOrder = [...current.claimGenerations].sort((a, b) => a.generation - b.generation);
    currentInOrder.forEach((generation, index) => {
        const successor = currentInOrder[index + 1];
        const replacement = proposedByNumber.get(generation.generation);
        if (replacement === undefined) {
            const expired = successor !== undefined
                && proposedAt > successor.fromIssueTime + claimRetentionMs + claimGenerationLeadMs;
            if (!expired) {
                problems.push(
                    `claim generation ${generation.generation} cannot be removed yet; keys may still select it`,
                );
            }
        }
        else if (!isDeepStrictEqual(replacement, generation)) {
            problems.push(`claim generation ${generation.generation} was changed; add a new generation instead`);
        }
    });
    const newest = currentInOrder.at(-1);
    if (newest === undefined) {
        return problems;
    }
    let previous = newest;
    const currentNumbers = new Set(currentInOrder.map(generation => generation.generation));
    const added = proposed.claimGenerations.filter(generation => !currentNumbers.has(generation.generation));
    for (const generation of added.sort((a, b) => a.generation - b.generation)) {
        if (generation.generation < previous.generation || generation.fromIssueTime <= previous.fromIssueTime) {
            problems.push(
                `claim generation ${generation.generation} must follow ${previous.generation} in number and start time`,
            );
        }
        if (generation.fromIssueTime < proposedAt + claimGenerationLeadMs) {
            problems.push(
                `claim generation ${generation.generation} must start at least ${claimGenerationLeadMs} ms from now`,
            );
        }
        previous = generation;
    }
    return problems;
}
