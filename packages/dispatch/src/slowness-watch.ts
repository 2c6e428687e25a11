/** Factor, relative to what is usual for the service, from which an endpoint is slow, and at which it has recovered. */
const slowFrom = 1.5;
const recoveredAt = 1.2;
/** Shortest time between two changes of an endpoint, in milliseconds; it bounds the number of log lines. */
const minChangeMs = 1_000;
/** Changes that are kept until they are read. */
const maxChanges = 64;

/** An endpoint that has become slow or has recovered. */
export interface PaceChange {
    endpoint: string;
    slow: boolean;
    /** Factor relative to what is usual for the service. */
    factor: number;
}

/** Tells which endpoints are much slower than usual, with a hysteresis. */
export class SlownessWatch {
    private readonly slow = new Set<string>();
    private readonly changedAt = new Map<string, number>();
    private changes: PaceChange[] = [];

    /** Number of slow endpoints. */
    get count(): number {
        return this.slow.size;
    }

    isSlow(endpoint: string): boolean {
        return this.slow.has(endpoint);
    }

    observe(endpoint: string, factor: number, now: number): void {
        const wasSlow = this.slow.has(endpoint);
        if (wasSlow ? factor > recoveredAt : factor < slowFrom) {
            return;
        }
        if (now - (this.changedAt.get(endpoint) ?? -Infinity) < minChangeMs) {
            return;
        }
        this.changedAt.set(endpoint, now);
        if (wasSlow) {
            this.slow.delete(endpoint);
        }
        else {
            this.slow.add(endpoint);
        }
        if (this.changes.length < maxChanges) {
            this.changes.push({ endpoint, slow: !wasSlow, factor });
        }
    }

    removeEndpoint(endpoint: string): void {
        this.slow.delete(endpoint);
        this.changedAt.delete(endpoint);
    }

    /** Returns the changes since the last call. */
    takeChanges(): PaceChange[] {
        const { changes } = this;
        this.changes = [];
        return changes;
    }
}
