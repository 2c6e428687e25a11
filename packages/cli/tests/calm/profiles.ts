import type { CalmKind, Timeouts } from "./calm-catalog.ts";
import type { Shares } from "./calm-endpoint.ts";

/** Names of the kinds of run. */
export type ProfileName = "mixed" | "silent" | "long";

/** What a run plays, beside its size and its seed. */
export interface Profile {
    shares: Shares;
    /** Kinds of request; undefined for all. */
    kinds?: readonly CalmKind[];
    timeouts: Timeouts;
    /** Time that callers give their requests, in milliseconds. */
    budgets: { leastMs: number; mostMs: number; };
    maxEvents: number;
    eventGapMs: number;
    /** Whether a few streams have far more events than the others. */
    longTail: boolean;
    /** Mean gaps between planned works of one kind, in milliseconds. */
    gaps: { change: number; reload: number; stop: number; steward: number; };
    /** Whether several ingresses are stopped within a second. */
    stopsTogether: boolean;
}

const mixedShares: Shares = {
    paused: 0.4,
    pausedTwice: 0.3,
    full: 0.04,
    fullAgain: 0.15,
    refusedLate: 0.5,
    closing: 0.03,
    minPauseMs: 600,
};

const mixed: Profile = {
    shares: mixedShares,
    timeouts: { firstMs: 6_000, leastMs: 1_500, mostMs: 10_500 },
    budgets: { leastMs: 4_000, mostMs: 12_000 },
    maxEvents: 50,
    eventGapMs: 25,
    longTail: false,
    gaps: { change: 500, reload: 700, stop: 4_000, steward: 15_000 },
    stopsTogether: false,
};

export const profiles: Record<ProfileName, Profile> = {
    mixed,
    /** Only streams that may be resumed; most attempts at a second endpoint end in a refusal that comes after a wait. */
    silent: {
        ...mixed,
        shares: { ...mixedShares, paused: 0.6, full: 0.01, fullAgain: 0.7, refusedLate: 0.9, minPauseMs: 1_100 },
        kinds: ["stream"],
    },
    /**
     * Streams that outlast the grace time, and changes that are in force everywhere before the next one is sent, so that
     * one process that stays behind shows.
     */
    long: {
        ...mixed,
        timeouts: { firstMs: 15_000, leastMs: 14_000, mostMs: 16_000 },
        budgets: { leastMs: 15_000, mostMs: 16_000 },
        maxEvents: 110,
        eventGapMs: 120,
        longTail: true,
        gaps: { change: 6_000, reload: 2_500, stop: 1_000, steward: 20_000 },
        stopsTogether: true,
    },
};
