/** The rules on which at-most-once execution rests. Only tests turn one off, to show that a check then fails. */
export interface ClaimRules {
    /** A claimant dispatches only when two of three replicas hold its record. */
    claimQuorum: boolean;
    /** `not-run` for a key without a winner is answered only after empty registers are sealed. */
    seal: boolean;
    /** A replica refuses messages for another identity. */
    identityCheck: boolean;
    /** Keys outside their validity window are refused. */
    expiryCheck: boolean;
    /** A key with another body digest is an error. */
    digestCheck: boolean;
}

export const allClaimRules: Readonly<ClaimRules> = {
    claimQuorum: true,
    seal: true,
    identityCheck: true,
    expiryCheck: true,
    digestCheck: true,
};
