import { allRules, type RuleSwitches } from "../rules/rule-switches.ts";
import { permitDurationMs } from "./permit-bounds.ts";

/** Granted permit, with the instant of the request that it answers. */
export interface PermitGrant {
    /** Instant, by the clock of the subscriber, at which it sent the request. */
    sentAt: number;
    /** Duration of the permit in the answer, counted from `sentAt`. */
    permitMs: number;
    /** Configuration version of the answer. The permit is valid only for a subscriber with at least this version. */
    version: number;
}

/**
 * Permission of an entry to send new work (design question 12). Its duration counts from the instant at which the
 * request for it was sent, because the leader may have answered at any time after that instant. If it counted from the
 * receipt of the answer, a delayed answer would extend the permit beyond the bound on which drains rely.
 */
export class SendPermit {
    private until = Number.NEGATIVE_INFINITY;

    /** Creates a permit that is not yet valid. Only tests pass `switches`. */
    constructor(private readonly switches: RuleSwitches = allRules) {}

    /** Applies a grant. Returns false and ignores the grant when `currentVersion` is below the version of the grant. */
    renew(grant: PermitGrant, currentVersion: number): boolean {
        if (currentVersion < grant.version) {
            return false;
        }
        this.until = Math.max(this.until, grant.sentAt + Math.min(grant.permitMs, permitDurationMs));
        return true;
    }

    /** Whether new work may be sent. */
    isValid(now: number): boolean {
        return now < this.until || (!this.switches.permitExpiry && this.until > Number.NEGATIVE_INFINITY);
    }

    /** Instant at which the permit expires, by the clock of the subscriber; minus infinity before the first grant. */
    get validUntil(): number {
        return this.until;
    }
}
