import type { RandomSource } from "@lentilramp/runtime";
import murmurhash from "murmurhash";
import type { AdmissionLevel } from "./room-messages.ts";

/** Seed of the hash of request ids. Other decisions that hash the same ids must not select the same requests. */
const drawSeed = 0x726f_6f6d;

/** Returns the share of the requests of a rank and workspace that the level admits. */
export function admittedShare(level: AdmissionLevel, rank: number, workspace: string): number {
    return level.workspaces.find(([ofRank, name]) => ofRank === rank && name === workspace)?.[2]
        ?? level.ranks.find(([ofRank]) => ofRank === rank)?.[1]
        ?? 1;
}

/**
 * Returns the position of a request in [0, 1); it is admitted if the position is below the admitted share. The position
 * depends on nothing but the id, so that all ingresses decide alike for requests of any size. Requests without an id get
 * a random one, as they would otherwise all be admitted or all be refused.
 */
export function drawPosition(id: string, random: RandomSource): number {
    return id === "" ? random.next() : murmurhash.v3(id, drawSeed) / 2 ** 32;
}

/** Returns the smallest share that a level admits of any rank and workspace. */
export function lowestShare(level: AdmissionLevel | undefined): number {
    return Math.min(
        1,
        ...(level?.ranks ?? []).map(([, share]) => share),
        ...(level?.workspaces ?? []).map(([, , share]) => share),
    );
}
