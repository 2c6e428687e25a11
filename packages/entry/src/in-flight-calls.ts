import type { Endpoint } from "@lentilramp/configuration";

class Counter {
    private readonly counts = new Map<string, number>();

    get(id: string): number {
        return this.counts.get(id) ?? 0;
    }

    add(id: string, change: number): void {
        const count = this.get(id) + change;
        if (count === 0) {
            this.counts.delete(id);
        }
        else {
            this.counts.set(id, count);
        }
    }

    get total(): number {
        return [...this.counts.values()].reduce((sum, count) => sum + count, 0);
    }

    toJSON(): Record<string, number> {
        return Object.fromEntries(this.counts);
    }
}

/** Counts plain calls in flight by endpoint, service and workspace. */
export class InFlightCalls {
    readonly byEndpoint = new Counter();
    readonly byService = new Counter();
    readonly byWorkspace = new Counter();

    /** Counts a call while `run` is in progress. */
    async track<T>(endpoint: Endpoint, service: string, workspace: string, run: () => Promise<T>): Promise<T> {
        const change = (by: number): void => {
            this.byEndpoint.add(endpoint.id, by);
            this.byService.add(service, by);
            this.byWorkspace.add(workspace, by);
        };
        change(1);
        try {
            return await run();
        }
        finally {
            change(-1);
        }
    }
}
