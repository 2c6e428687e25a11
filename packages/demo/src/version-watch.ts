import type { Deployment } from "./deployment.ts";

const pollMs = 300;

interface EntryReading {
    name: string;
    status: { version?: number; failureDomain?: string; } | undefined;
}

interface StatusDocument {
    entries: EntryReading[];
}

/** Watches the version in force at every entry for the whole demo and finds a version that goes back. */
export class VersionWatch {
    readonly reverts: string[] = [];
    private readonly highest = new Map<string, number>();
    private stopped = false;
    private loop: Promise<void> | undefined;

    constructor(private readonly deployment: Deployment) {}

    start(): void {
        this.loop = this.run();
    }

    async stop(): Promise<void> {
        this.stopped = true;
        await this.loop;
    }

    /** A restarted entry begins without a version, so it is watched anew. */
    forget(name: string): void {
        this.highest.delete(name);
    }

    /** Lowest version in each failure domain among the entries that answer. */
    async versionsByDomain(): Promise<Map<string, number>> {
        const lowest = new Map<string, number>();
        for (const { status } of await this.read()) {
            if (status?.version !== undefined && status.failureDomain !== undefined) {
                const known = lowest.get(status.failureDomain) ?? Infinity;
                lowest.set(status.failureDomain, Math.min(known, status.version));
            }
        }
        return lowest;
    }

    private async run(): Promise<void> {
        while (!this.stopped) {
            await this.read();
            await new Promise(resolve => setTimeout(resolve, pollMs));
        }
    }

    private async read(): Promise<EntryReading[]> {
        const { output } = await this.deployment.command("status");
        if (output === "") {
            return [];
        }
        const { entries } = JSON.parse(output) as StatusDocument;
        for (const { name, status } of entries) {
            const version = status?.version;
            const known = this.highest.get(name) ?? 0;
            if (version !== undefined && version < known) {
                this.reverts.push(`${name} went from version ${known} to ${version}`);
            }
            if (version !== undefined) {
                this.highest.set(name, Math.max(known, version));
            }
        }
        return entries;
    }
}
