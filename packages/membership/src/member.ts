/** UDP address of an entry process. */
export interface Address {
    host: string;
    port: number;
}

/** `dead` was detected, `left` was announced by the member itself. */
export type MemberStatus = "alive" | "suspect" | "dead" | "left";

export const memberStatuses = ["alive", "suspect", "dead", "left"] as const;

/** What a node knows about a member. */
export interface Member extends Address {
    id: string;
    incarnation: number;
    status: MemberStatus;
    /** Set by the platform's list; says nothing about whether the member is alive. */
    leaving: boolean;
    /** Instant of the last change of the status. */
    statusChangedAt: number;
}

/** A piece of news about a member. The address is present with `alive` and absent otherwise. */
export interface Update {
    id: string;
    status: MemberStatus;
    incarnation: number;
    address?: Address;
}

/** An instance of the platform's lagging list. */
export interface Candidate extends Address {
    id: string;
    leaving: boolean;
}

/**
 * True when news replaces what is held: a higher incarnation always does; with equal ones the order is alive, suspect,
 * dead, left. A dead member therefore comes back only with a new incarnation.
 */
export function supersedes(
    news: { status: MemberStatus; incarnation: number; },
    held: { status: MemberStatus; incarnation: number; },
): boolean {
    if (news.incarnation !== held.incarnation) {
        return news.incarnation > held.incarnation;
    }
    return memberStatuses.indexOf(news.status) > memberStatuses.indexOf(held.status);
}

export function isLive(status: MemberStatus): boolean {
    return status === "alive" || status === "suspect";
}
