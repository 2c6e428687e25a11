import type { BlockedPart, CrashReport } from "./crash-evidence.ts";
import type { EndpointLifetime } from "./endpoint-directory.ts";

/** Number of parts of which the last begun answer is remembered. */
const maxBegunParts = 4_096;
const maxReports = 64;
/** Time for which an ingress repeats a report, in milliseconds; a new leader learns of crashes from the repetitions. */
const reportMs = 20_000;
/** Number of crashes from which requests with a suspected part are not repeated at another endpoint. */
const unrepeatedFrom = 2;

/** What one ingress knows of prompt parts that crash engines: its own evidence, the suspects and the verdicts. */
export class PromptCrashes {
    /** Instant of the last answer that began on a part, in the order of these instants. */
    private readonly begunAt = new Map<string, number>();
    private reports: { lifetime: EndpointLifetime; at: number; parts: Set<string>; }[] = [];
    private suspects: Readonly<Record<string, number>> = {};
    private blocked: ReadonlySet<string> = new Set();
    private refused = new Set<string>();

    /** Records that an answer to a prompt with these parts has begun. */
    recordBegun(parts: readonly string[], now: number): void {
        for (const part of parts) {
            this.begunAt.delete(part);
            this.begunAt.set(part, now);
        }
        for (const part of this.begunAt.keys()) {
            if (this.begunAt.size <= maxBegunParts) {
                break;
            }
            this.begunAt.delete(part);
        }
    }

    /** Records the crash at `at` of an endpoint at which prompts with these parts were waiting for their first token. */
    recordCrash({ id, startedAt }: EndpointLifetime, parts: readonly string[], at: number): void {
        const known = this.reports.find(({ lifetime }) => lifetime.id === id && lifetime.startedAt === startedAt);
        const report = known ?? { lifetime: { id, startedAt }, at, parts: new Set<string>() };
        parts.forEach(part => report.parts.add(part));
        if (known === undefined) {
            this.reports = [...this.reports, report].slice(-maxReports);
        }
    }

    /** Returns the crashes that this ingress has seen, for the leader. */
    crashReports(now: number): CrashReport[] {
        this.reports = this.reports.filter(({ at }) => now - at < reportMs);
        return this.reports.map(({ lifetime, at, parts }) => ({
            endpoint: lifetime.id,
            startedAt: lifetime.startedAt,
            ageMs: now - at,
            parts: [...parts].filter(part => (this.begunAt.get(part) ?? -Infinity) <= at),
        }));
    }

    /** Returns the age in milliseconds of the last begun answer on each suspected part, for the leader. */
    begunReports(now: number): Record<string, number> {
        const ages: Record<string, number> = {};
        for (const part of [...Object.keys(this.suspects), ...this.blocked]) {
            const at = this.begunAt.get(part);
            if (at !== undefined) {
                ages[part] = now - at;
            }
        }
        return ages;
    }

    /** Returns the blocked parts of requests that were refused since the last call. */
    takeRefused(): string[] {
        const parts = [...this.refused];
        this.refused = new Set();
        return parts;
    }

    /** Applies the suspects of a leader; returns whether there are new ones, on which it wants to hear soon. */
    applySuspects(suspects: Readonly<Record<string, number>>): boolean {
        const hasNew = Object.keys(suspects).some(part => this.suspects[part] === undefined && this.begunAt.has(part));
        this.suspects = suspects;
        return hasNew;
    }

    /** Applies the verdicts of the fleet; returns those that are new and those that have ended. */
    applyBlocked(blocked: readonly Pick<BlockedPart, "part">[]): { added: string[]; ended: string[]; } {
        const before = this.blocked;
        this.blocked = new Set(blocked.map(({ part }) => part));
        const ended = [...before].filter(part => !this.blocked.has(part));
        for (const part of ended) {
            this.reports.forEach(({ parts }) => parts.delete(part));
        }
        return { added: [...this.blocked].filter(part => !before.has(part)), ended };
    }

    /** Number of parts whose requests are refused. */
    get blockedParts(): number {
        return this.blocked.size;
    }

    /** Returns the part for which a request must not be sent, or undefined if it may be. */
    blockingPart(parts: readonly string[]): string | undefined {
        return this.blocked.size === 0 ? undefined : parts.find(part => this.blocked.has(part));
    }

    /** Records that a request was refused for a blocked part, so that its verdict stands while such requests come. */
    recordRefusal(part: string): void {
        this.refused.add(part);
    }

    /** Whether a request whose endpoint crashed may be sent to another one. */
    mayRepeat(parts: readonly string[]): boolean {
        return this.blockingPart(parts) === undefined
            && parts.every(part => (this.suspects[part] ?? 0) < unrepeatedFrom);
    }
}

/** Returns the ids of the parts of a prompt that other prompts can share: all but the last. */
export function sharedParts(parts: readonly { id: string; }[]): string[] {
    return parts.slice(0, -1).map(({ id }) => id);
}
