/** Position of an ingress among those that share a limit without a leader. */
export interface TurnShare {
    /** Number of ingresses that may be running. */
    members: number;
    /** Index of this ingress in the roster, from 0. */
    position: number;
    /** Time that all ingresses read alike, in milliseconds. */
    fleetTimeMs: number;
}

/** Time from its start for which a turn may be used, in milliseconds; unused ones do not add up to a burst. */
const turnValidMs = 1_000;

/**
 * Divides the sends to a limited endpoint among the ingresses by time, for the time in which no leader grants permits:
 * the turns of a common schedule belong to one ingress after the other. They need no contact with each other.
 */
export class LimitTurns {
    /** Instant up to which this ingress has used its turns, by endpoint. */
    private readonly usedUntil = new Map<string, number>();

    /** Returns the number of own turns that may be used now, for a limit of `perSecond` requests. */
    available(endpoint: string, perSecond: number, { members, position, fleetTimeMs }: TurnShare): number {
        const periodMs = members * 1_000 / perSecond;
        const phaseMs = position * periodMs / members;
        const from = Math.max(this.usedUntil.get(endpoint) ?? -Infinity, fleetTimeMs - turnValidMs);
        return Math.max(0, Math.floor((fleetTimeMs - phaseMs) / periodMs) - Math.floor((from - phaseMs) / periodMs));
    }

    /** Uses the oldest of the available turns. */
    take(endpoint: string, perSecond: number, { members, position, fleetTimeMs }: TurnShare): void {
        const periodMs = members * 1_000 / perSecond;
        const phaseMs = position * periodMs / members;
        const from = Math.max(this.usedUntil.get(endpoint) ?? -Infinity, fleetTimeMs - turnValidMs);
        const turnAt = (Math.floor((from - phaseMs) / periodMs) + 1) * periodMs + phaseMs;
        // The middle of the turn, so that rounding cannot make the turn available again.
        this.usedUntil.set(endpoint, turnAt + periodMs / 2);
    }

    removeEndpoint(endpoint: string): void {
        this.usedUntil.delete(endpoint);
    }
}
