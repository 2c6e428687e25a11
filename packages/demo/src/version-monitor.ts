import type { Deployment } from "./deployment.ts";

const pollIntervalMs = 300;

interface EntryStatus {
    name: string;
    status: { version?: number; failureDomain?: string; } | undefined;
}

interface StatusDocument {
    entries: EntryStatus[];
}

/** Polls the configuration version that is in force at each entry and records every decrease. */
export class VersionMonitor {
    readonly reverts: string[] = [];
    private readonly highestVersions = new Map<string, number>();
    private isStopped = false;
    private pollLoop: Promise<void> | undefined;

    constructor(private readonly deployment: Deployment) {}

    start(): void {
        this.pollLoop = this.poll();
    }

    async stop(): Promise<void> {
        this.isStopped = true;
        await this.pollLoop;
    }

    /** Discards the highest version of an entry, because a restarted entry begins without a version. */
    resetEntry(name: string): void {
        this.highestVersions.delete(name);
    }

    /** Returns the lowest version in each failure domain among the entries that respond. */
    async lowestVersionByDomain(): Promise<Map<string, number>> {
        const lowestVersions = new Map<string, number>();
        for (const { status } of await this.readEntries()) {
            if (status?.version !== undefined && status.failureDomain !== undefined) {
                const lowestVersion = lowestVersions.get(status.failureDomain) ?? Infinity;
                lowestVersions.set(status.failureDomain, Math.min(lowestVersion, status.version));
            }
        }
        return lowestVersions;
    }

    private async poll(): Promise<void> {
        while (!this.isStopped) {
            await this.readEntries();
            await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
        }
    }

    private async readEntries(): Promise<EntryStatus[]> {
        const { stdout } = await this.deployment.runCommand("status");
        if (stdout === "") {
            return [];
        }
        const { entries } = JSON.parse(stdout) as StatusDocument;
        for (const { name, status } of entries) {
            const version = status?.version;
            const highestVersion = this.highestVersions.get(name) ?? 0;
            if (version !== undefined && version < highestVersion) {
                this.reverts.push(`${name} went from version ${highestVersion} to ${version}`);
            }
            if (version !== undefined) {
                this.highestVersions.set(name, Math.max(highestVersion, version));
            }
        }
        return entries;
    }
}
