import { createHash } from "node:crypto";
import { lastStep } from "./rollout-book.ts";

/** Time for which a share holds from the proof that its leader leads, in milliseconds, in fleets with short syncs. */
const minValidMs = 1_000;
/** Sync intervals for which a share holds in larger fleets, where syncs are further apart. */
const validSyncs = 1.5;
/** Part of the time within which a bad version must get no request that a share may hold without contact. */
const validPart = 0.5;
/** Part of that validity after which a share is renewed, so that one failed call (600 ms) leaves time for another. */
const renewPart = 0.6;
/** Parts of the ingresses that take a share, where it has to be renewed; the smallest that is enough is used. */
const parts = [1 / 8, 1 / 4, 1 / 2];
/** Fewest ingresses of such a part, so that it gets about its part of the requests. */
const minTaking = 32;
/** Syncs, or renewals, that pass until a change of the share shows in the responses. */
const settleSyncs = 2;

/** How a share is handed out to the ingresses. */
export interface SharePlan {
    /** Time for which the share holds without contact, in milliseconds. */
    validMs: number;
    /** Part of the ingresses that take the share of all; the others send nothing to the target. */
    part: number;
    /** Time after which an ingress that takes it asks the leader again, in milliseconds; undefined if syncs do that. */
    renewMs: number | undefined;
}

/**
 * Returns how a share is handed out in a fleet of `members` ingresses with the given sync interval. Where syncs are too
 * far apart, it is renewed in between, with reports of the responses; only a part of the ingresses takes a small share,
 * which bounds the calls.
 */
export function planShare(share: number, members: number, syncIntervalMs: number, rollbackMs: number): SharePlan {
    const part = parts.find(candidate => candidate >= share && candidate * members >= minTaking) ?? 1;
    const validMs = Math.min(Math.max(minValidMs, validSyncs * syncIntervalMs), rollbackMs * validPart);
    return validMs >= validSyncs * syncIntervalMs
        ? { validMs, part: 1, renewMs: undefined }
        : { validMs, part, renewMs: validMs * renewPart };
}

/**
 * Whether all ingresses renew at a step, also those whose share is 0. They do from the step before the last one on, so
 * that the last one, at which all requests go to the target, is short.
 */
export function renewsAlways(step: number): boolean {
    return step >= lastStep - 1;
}

/**
 * Returns the time from a change of the share at the beginning of a step until it shows in the responses that the leader
 * has, in milliseconds.
 */
export function settleMs(step: number, syncIntervalMs: number, renewMs: number | undefined): number {
    if (renewMs === undefined) {
        return settleSyncs * syncIntervalMs;
    }
    return (renewsAlways(step - 1) ? 0 : syncIntervalMs) + settleSyncs * renewMs;
}

/**
 * Returns the share that one ingress takes. Each roll-out has its own order of the ingresses, and a larger part contains
 * a smaller one.
 */
export function shareOf(ingress: string, orderedAt: number, share: number, part: number): number {
    if (part >= 1) {
        return share;
    }
    const digest = createHash("sha256").update(`${orderedAt}:${ingress}`).digest();
    return digest.readUInt32BE(0) / 2 ** 32 < part ? Math.min(1, share / part) : 0;
}
