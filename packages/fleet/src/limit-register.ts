/** What an endpoint stated about the requests that it takes from the whole fleet. */
export interface LimitStatement {
    /** Requests per second; undefined if the endpoint states no limit any more. */
    perSecond: number | undefined;
    /** Start of the lifetime of the endpoint that made the statement, if it is known. */
    startedAt: number | undefined;
    /** Instant of the statement on the clock of this process. */
    at: number;
}

/** The latest statement of each endpoint about its limit. The newest one wins, in whichever order they arrive. */
export class LimitRegister {
    private readonly statements = new Map<string, LimitStatement>();

    /** Takes over a statement unless a newer one is known; returns whether the limit of the endpoint has changed. */
    merge(endpoint: string, statement: LimitStatement): boolean {
        const known = this.statements.get(endpoint);
        if (known !== undefined && known.at >= statement.at) {
            return false;
        }
        this.statements.set(endpoint, statement);
        return known?.perSecond !== statement.perSecond;
    }

    /** Returns the limit of an endpoint in requests per second, or undefined if it has none. */
    limitOf(endpoint: string): number | undefined {
        return this.statements.get(endpoint)?.perSecond;
    }

    entries(): Iterable<[string, LimitStatement]> {
        return this.statements.entries();
    }

    /** Drops the statements of endpoints that `endpoints` does not contain in the lifetime that made them. */
    retain(endpoints: readonly { id: string; startedAt?: number; }[]): void {
        const startTimes = new Map(endpoints.map(({ id, startedAt }) => [id, startedAt]));
        for (const [id, { startedAt }] of this.statements) {
            if (!startTimes.has(id) || startTimes.get(id) !== startedAt) {
                this.statements.delete(id);
            }
        }
    }
}
