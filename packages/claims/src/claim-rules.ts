/** Rules that at-most-once execution depends on. Only tests disable one, to show that a check then fails. */
export interface ClaimRules {
    /** Whether a claimant dispatches only after two of three replicas hold its record. */
    claimQuorum: boolean;
    /** Whether `not-run` is returned for a key without a quorum only after its empty registers are sealed. */
    seal: boolean;
    /** Whether a replica refuses messages that are addressed to another identity. */
    identityCheck: boolean;
    /** Whether keys outside their validity window are refused. */
    expiryCheck: boolean;
    /** Whether reusing a key with another body digest is an error. */
    digestCheck: boolean;
}

export const allClaimRules: Readonly<ClaimRules> = {
    claimQuorum: true,
    seal: true,
    identityCheck: true,
    expiryCheck: true,
    digestCheck: true,
};
