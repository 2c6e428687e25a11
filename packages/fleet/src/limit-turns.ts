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
    available(endpoint: string, perSecond: number, share: TurnShare): number {
        const { periodMs, phaseMs, unusedFrom } = this.schedule(endpoint, perSecond, share);
        const turnsUntil = (timeMs: number): number => Math.floor((timeMs - phaseMs) / periodMs);
        return Math.max(0, turnsUntil(share.fleetTimeMs) - turnsUntil(unusedFrom));
    }

    /** Uses the oldest of the available turns. */
    take(endpoint: string, perSecond: number, share: TurnShare): void {
        const { periodMs, phaseMs, unusedFrom } = this.schedule(endpoint, perSecond, share);
        const turnAt = (Math.floor((unusedFrom - phaseMs) / periodMs) + 1) * periodMs + phaseMs;
        // The middle of the turn, so that rounding cannot make the turn available again.
        this.usedUntil.set(endpoint, turnAt + periodMs / 2);
    }

    removeEndpoint(endpoint: string): void {
        this.usedUntil.delete(endpoint);
    }

    /** Returns the interval between own turns, their offset, and the instant from which they are valid and unused. */
    private schedule(
        endpoint: string,
        perSecond: number,
        { members, position, fleetTimeMs }: TurnShare,
    ): { periodMs: number; phaseMs: number; unusedFrom: number; } {
        const periodMs = members * 1_000 / perSecond;
        const usedUntil = this.usedUntil.get(endpoint) ?? -Infinity;
        // A use that lies further ahead was recorded before the fleet's time was set back.
        const isCurrent = usedUntil <= fleetTimeMs + periodMs;
        return {
            periodMs,
            phaseMs: position * periodMs / members,
            unusedFrom: Math.max(isCurrent ? usedUntil : -Infinity, fleetTimeMs - turnValidMs),
        };
    }
}
