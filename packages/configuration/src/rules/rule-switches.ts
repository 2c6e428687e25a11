/** Safety rules that a test can turn off to show that its check fails without the rule. */
export interface RuleSwitches {
    /** A send permit ends 2.5 s after its request was sent. */
    permitExpiry: boolean;
    /** A proposal needs the newest version as its base, and a view never goes back to an older version. */
    versionCheck: boolean;
    /** The id of a transferred item cannot come back. */
    tombstoneCheck: boolean;
    /** A new duty holder waits for the orders of earlier holders, and a hand-over waits for old permits. */
    fencingWait: boolean;
}

/** All rules on; the only value used outside tests. */
export const allRules: Readonly<RuleSwitches> = {
    permitExpiry: true,
    versionCheck: true,
    tombstoneCheck: true,
    fencingWait: true,
};
