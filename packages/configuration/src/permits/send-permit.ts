import { allRules, type RuleSwitches } from "../rules/rule-switches.ts";
import { permitDurationMs } from "./permit-bounds.ts";

/** A granted permit and the request that it answers. */
export interface PermitGrant {
    /** Instant, by the clock of the subscriber, at which it sent the request. */
    sentAt: number;
    /** Duration from `sentAt` in ms, from the answer. */
    permitMs: number;
    /** Version of the answer; the permit counts only for a subscriber that holds it. */
    version: number;
}

/**
 * The right of an entry to send new work (design question 12). It counts from the instant at which the renewing request
 * was sent, because the leader may have answered at any time after that instant; counting from the receipt of the answer
 * would let a delayed answer prolong the permit beyond the bound on which drains rely.
 */
export class SendPermit {
    private until = Number.NEGATIVE_INFINITY;

    /** `switches` is only for tests. */
    constructor(private readonly switches: RuleSwitches = allRules) {}

    /** Takes a grant. Returns false when the held version is below that of the grant and the permit does not count. */
    renew(grant: PermitGrant, heldVersion: number): boolean {
        if (heldVersion < grant.version) {
            return false;
        }
        this.until = Math.max(this.until, grant.sentAt + Math.min(grant.permitMs, permitDurationMs));
        return true;
    }

    /** True while new work may be sent. */
    isValid(now: number): boolean {
        return now < this.until || (!this.switches.permitExpiry && this.until > Number.NEGATIVE_INFINITY);
    }

    /** Instant at which the permit ends, by the clock of the subscriber; minus infinity before the first permit. */
    get validUntil(): number {
        return this.until;
    }
}
