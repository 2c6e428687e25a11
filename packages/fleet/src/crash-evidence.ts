import { z } from "zod";

/** A crash of an endpoint as one ingress saw it. */
export const crashReportSchema = z.object({
    endpoint: z.string(),
    /** Start of the lifetime that ended, if it is known. */
    startedAt: z.number().optional(),
    /** Age of the crash when the message was sent, in milliseconds. */
    ageMs: z.number(),
    /** Parts of the prompts whose answers had not begun, without the last part of each. */
    parts: z.array(z.string()),
});
export type CrashReport = z.infer<typeof crashReportSchema>;

/** A part of prompts that crashes engines, with the evidence. */
export const blockedPartSchema = z.object({
    part: z.string(),
    /** Endpoints that crashed while a prompt with the part was waiting for its first token. */
    endpoints: z.array(z.string()),
});
export type BlockedPart = z.infer<typeof blockedPartSchema>;

/**
 * Number of crashed lifetimes that accuse a part. Crashes that have nothing to do with prompts rarely hit the same part
 * so often without an answer on it in between.
 */
const accusingCrashes = 4;
/** Time for which a crash counts as evidence, in milliseconds. */
const evidenceMs = 60_000;
const maxCrashes = 256;
const maxPartsPerCrash = 64;
const maxSuspects = 256;

interface Crash {
    endpoint: string;
    at: number;
    /** Instant of the first report; a leader that is new hears of old crashes. */
    heardAt: number;
    parts: Set<string>;
}

/**
 * Decides which parts of prompts crash engines. A part is accused by crashes of distinct lifetimes in each of which a
 * prompt with it was waiting for its first token; an answer that begins on a part clears it of all earlier crashes.
 * Crashes that an accused part explains do not accuse the parts that occur beside it.
 */
export class CrashJudge {
    private crashes = new Map<string, Crash>();
    private readonly begunAt = new Map<string, number>();

    /** Merges a report that was sent at `sentAt`; reports of several ingresses on one lifetime are one crash. */
    recordReport({ endpoint, startedAt, ageMs, parts }: CrashReport, sentAt: number): void {
        const key = `${endpoint} ${startedAt ?? ""}`;
        const crash = this.crashes.get(key)
            ?? { endpoint, at: sentAt - ageMs, heardAt: sentAt, parts: new Set<string>() };
        crash.at = Math.min(crash.at, sentAt - ageMs);
        parts.filter(() => crash.parts.size < maxPartsPerCrash).forEach(part => crash.parts.add(part));
        this.crashes.set(key, crash);
    }

    /** Records that an answer on a part had begun by the instant `at`. */
    recordBegun(part: string, at: number): void {
        this.begunAt.set(part, Math.max(at, this.begunAt.get(part) ?? -Infinity));
    }

    /** Returns the instant of the last answer that is known to have begun on a part. */
    lastBegun(part: string): number | undefined {
        return this.begunAt.get(part);
    }

    /** Drops all evidence against a part, for instance after an operator has lifted its verdict. */
    clear(part: string, now: number): void {
        this.recordBegun(part, now);
    }

    /** Returns the parts with evidence against them and the number of crashes, those with most first. */
    suspects(now: number): Record<string, number> {
        this.dropOld(now);
        const counts = new Map<string, number>();
        for (const crash of this.crashes.values()) {
            for (const part of crash.parts) {
                if (this.accuses(crash, part)) {
                    counts.set(part, (counts.get(part) ?? 0) + 1);
                }
            }
        }
        return Object.fromEntries([...counts].sort(([, a], [, b]) => b - a).slice(0, maxSuspects));
    }

    /**
     * Returns the parts that crash engines. `settleMs` is the time that all ingresses need to report answers that have
     * begun on a suspected part; `known` are parts whose verdict stands, which explain crashes too.
     */
    verdicts(now: number, settleMs: number, known: ReadonlySet<string> = new Set()): BlockedPart[] {
        this.dropOld(now);
        let unexplained = [...this.crashes.values()].filter(crash => ![...crash.parts].some(part => known.has(part)));
        const verdicts: BlockedPart[] = [];
        for (;;) {
            const [part, crashes] = this.mostAccused(unexplained);
            const decidedAt = crashes.map(({ heardAt }) => heardAt).sort((a, b) => a - b)[accusingCrashes - 1];
            if (part === undefined || decidedAt === undefined || now - decidedAt < settleMs) {
                return verdicts;
            }
            verdicts.push({ part, endpoints: crashes.map(({ endpoint }) => endpoint) });
            unexplained = unexplained.filter(crash => !crashes.includes(crash));
        }
    }

    private mostAccused(crashes: readonly Crash[]): [string | undefined, Crash[]] {
        const byPart = new Map<string, Crash[]>();
        for (const crash of crashes) {
            for (const part of crash.parts) {
                if (this.accuses(crash, part)) {
                    byPart.set(part, [...byPart.get(part) ?? [], crash]);
                }
            }
        }
        return [...byPart].reduce<[string | undefined, Crash[]]>(
            (most, entry) => entry[1].length > most[1].length ? entry : most,
            [undefined, []],
        );
    }

    private accuses(crash: Crash, part: string): boolean {
        return (this.begunAt.get(part) ?? -Infinity) < crash.at;
    }

    private dropOld(now: number): void {
        const recent = [...this.crashes].filter(([, { at }]) => now - at < evidenceMs);
        this.crashes = new Map(recent.sort(([, a], [, b]) => a.at - b.at).slice(-maxCrashes));
        for (const [part, at] of this.begunAt) {
            if (now - at >= evidenceMs) {
                this.begunAt.delete(part);
            }
        }
    }
}
