/** UDP address of an entry process. */
export interface Address {
    host: string;
    port: number;
}

/** Status of a member. `dead` is set by failure detection; `left` is announced by the member itself. */
export type MemberStatus = "alive" | "suspect" | "dead" | "left";

export const memberStatuses = ["alive", "suspect", "dead", "left"] as const;

/** State of a member at a node. */
export interface Member extends Address {
    id: string;
    incarnation: number;
    status: MemberStatus;
    /** Whether the platform lists the instance as leaving. Independent of `status`. */
    leaving: boolean;
    /** Time of the last status change, in milliseconds. */
    statusChangedAt: number;
}

/** Status update about a member. The address is present with `alive` and absent otherwise. */
export interface Update {
    id: string;
    status: MemberStatus;
    incarnation: number;
    address?: Address;
}

/** Instance in the platform's list, which lags. */
export interface Candidate extends Address {
    id: string;
    leaving: boolean;
}

/**
 * Whether an update supersedes the stored state. A higher incarnation always does; for equal incarnations, the status
 * that is later in the order alive, suspect, dead, left does. A dead member therefore becomes alive again only with a
 * new incarnation.
 */
export function supersedes(
    update: { status: MemberStatus; incarnation: number; },
    stored: { status: MemberStatus; incarnation: number; },
): boolean {
    if (update.incarnation !== stored.incarnation) {
        return update.incarnation > stored.incarnation;
    }
    return memberStatuses.indexOf(update.status) > memberStatuses.indexOf(stored.status);
}

export function isLive(status: MemberStatus): boolean {
    return status === "alive" || status === "suspect";
}
