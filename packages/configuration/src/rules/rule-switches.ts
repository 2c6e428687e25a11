/** Switches for the safety rules. A test turns a rule off to show that its check fails without the rule. */
export interface RuleSwitches {
    /** Whether a send permit expires 2.5 s after its request was sent. */
    permitExpiry: boolean;
    /**
     * Whether a proposal needs the newest version as its base, and a view refuses versions older than its current one.
     */
    versionCheck: boolean;
    /** Whether a proposal that reuses the id of a transferred item is refused. */
    tombstoneCheck: boolean;
    /**
     * Whether a new duty holder waits for the expiry of earlier holders' orders, and a hand-over for that of old
     * permits.
     */
    fencingWait: boolean;
}

/** Switches with all rules enabled; the only value used outside of tests. */
export const allRules: Readonly<RuleSwitches> = {
    permitExpiry: true,
    versionCheck: true,
    tombstoneCheck: true,
    fencingWait: true,
};
