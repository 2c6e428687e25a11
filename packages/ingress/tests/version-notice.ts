import type { RolloutNotice } from "@lentilramp/rollouts";

/** Returns what a steward says of a running roll-out to the version "v2"; without a share unless `overrides` has one. */
export function notice(overrides: Partial<RolloutNotice> = {}): RolloutNotice {
    return {
        state: "running",
        target: "v2",
        orderedAt: 1_000,
        barred: [],
        closed: false,
        ageMs: 0,
        validMs: 1_000,
        ...overrides,
    };
}
