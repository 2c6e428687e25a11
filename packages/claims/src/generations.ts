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

/** Set of claim replicas for the keys issued at or after `fromIssueTime`. */
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

function ranksHigher(a: Candidate, b: Candidate): boolean {
    return a.score > b.score || (a.score === b.score && a.replica.identity > b.replica.identity);
}

/** Returns the generation with the latest `fromIssueTime` that is not after the issue time of the key. */
function generationOf(key: RequestKey, generations: readonly ClaimGeneration[]): ClaimGeneration | undefined {
    return generations.filter(generation => generation.fromIssueTime <= key.issuedAt).reduce<
        ClaimGeneration | undefined
    >(
        (best, next) => best === undefined || next.fromIssueTime > best.fromIssueTime ? next : best,
        undefined,
    );
}

/** Selects replicas in distinct failure domains by rendezvous hashing, which depends only on key and generation. */
export function selectReplicas(
    key: RequestKey,
    generations: readonly ClaimGeneration[],
): Result<ClaimReplicaAddress[], SelectionError> {
    const generation = generationOf(key, generations);
    if (generation === undefined) {
        return Err("no-generation");
    }
    const bestByDomain = new Map<string, Candidate>();
    for (const replica of generation.replicas) {
        const candidate = { replica, score: murmurhash.v3(`${key.text}/${replica.identity}`) };
        const best = bestByDomain.get(replica.failureDomain);
        if (best === undefined || ranksHigher(candidate, best)) {
            bestByDomain.set(replica.failureDomain, candidate);
        }
    }
    const selected = [...bestByDomain.values()].sort((a, b) => ranksHigher(a, b) ? -1 : 1).slice(0, REPLICAS_PER_KEY);
    return selected.length === REPLICAS_PER_KEY
        ? Ok(selected.map(candidate => candidate.replica))
        : Err("too-few-domains");
}

/** Returns the earliest `fromIssueTime` that a generation committed at `commitTime` may have. */
export function earliestFromIssueTime(commitTime: number): number {
    return commitTime + GENERATION_DELAY_MS;
}
