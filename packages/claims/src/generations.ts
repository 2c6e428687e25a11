import murmurhash from "murmurhash";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { GENERATION_DELAY_MS, REPLICAS_PER_KEY } from "./constants.ts";
import type { RequestKey } from "./request-key.ts";

export interface ClaimReplicaAddress {
    identity: string;
    address: string;
    failureDomain: string;
}

/** A set of claim replicas for the keys issued from an instant on. */
export interface ClaimGeneration {
    generation: number;
    fromIssueTime: number;
    replicas: readonly ClaimReplicaAddress[];
}

export type SelectionError = "no-generation" | "too-few-domains";

interface Candidate {
    replica: ClaimReplicaAddress;
    score: number;
}

function better(a: Candidate, b: Candidate): boolean {
    return a.score > b.score || (a.score === b.score && a.replica.identity > b.replica.identity);
}

/** Returns the generation with the latest `fromIssueTime` not after the issue time of the key. */
function generationOf(key: RequestKey, generations: readonly ClaimGeneration[]): ClaimGeneration | undefined {
    return generations.filter(generation => generation.fromIssueTime <= key.issuedAt).reduce<
        ClaimGeneration | undefined
    >(
        (best, next) => best === undefined || next.fromIssueTime > best.fromIssueTime ? next : best,
        undefined,
    );
}

/** Selects one replica for each failure domain by rendezvous hashing; the result depends on key and generation only. */
export function selectReplicas(
    key: RequestKey,
    generations: readonly ClaimGeneration[],
): Result<ClaimReplicaAddress[], SelectionError> {
    const generation = generationOf(key, generations);
    if (generation === undefined) {
        return Err("no-generation");
    }
    const byDomain = new Map<string, Candidate>();
    for (const replica of generation.replicas) {
        const candidate = { replica, score: murmurhash.v3(`${key.text}/${replica.identity}`) };
        const best = byDomain.get(replica.failureDomain);
        if (best === undefined || better(candidate, best)) {
            byDomain.set(replica.failureDomain, candidate);
        }
    }
    const chosen = [...byDomain.values()].sort((a, b) => better(a, b) ? -1 : 1).slice(0, REPLICAS_PER_KEY);
    return chosen.length === REPLICAS_PER_KEY ? Ok(chosen.map(candidate => candidate.replica)) : Err("too-few-domains");
}

/** Returns the earliest `fromIssueTime` of a generation that is committed at `commitTime`. */
export function earliestFromIssueTime(commitTime: number): number {
    return commitTime + GENERATION_DELAY_MS;
}
