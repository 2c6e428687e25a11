import type { Endpoint } from "@lentilramp/configuration";

class KeyedCounter {
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

/** Counts in-flight service calls by endpoint, service and workspace. */
export class InFlightCalls {
    readonly byEndpoint = new KeyedCounter();
    readonly byService = new KeyedCounter();
    readonly byWorkspace = new KeyedCounter();

    /** Runs `run` and counts it as an in-flight call until its promise settles. */
    async track<T>(endpoint: Endpoint, service: string, workspace: string, run: () => Promise<T>): Promise<T> {
        const addToCounts = (change: number): void => {
            this.byEndpoint.add(endpoint.id, change);
            this.byService.add(service, change);
            this.byWorkspace.add(workspace, change);
        };
        addToCounts(1);
        try {
            return await run();
        }
        finally {
            addToCounts(-1);
        }
    }
}
