import type { z } from "zod";
import { type BlockedPart, crashEvidenceMs, type crashReportSchema, isRequestKey } from "./crash-evidence.ts";
import { assessCrashes, type Crash, type CrashAssessment, type WaitingRequest } from "./crash-verdicts.ts";

const maxCrashes = 256;
const maxRequestsPerCrash = 256;
/** Number of requests in all crashes; an assessment of so many stays well below an election timeout. */
const maxRequests = 2_048;
const maxPartsPerRequest = 64;
const maxSuspects = 128;
/** Time for which an assessment is reused while the evidence does not change, in milliseconds. */
const assessmentLifetimeMs = 1_000;
/** Number of requests in all crashes up to which each change of the evidence is assessed at once. */
const assessedAtOnce = 64;
/**
 * Number of further requests for which an assessment is reused a millisecond longer, so that the leader spends a small
 * part of its time on the evidence after an outage.
 */
const requestsPerReusedMs = 8;

interface RecordedCrash extends Crash {
    requests: Map<string, WaitingRequest>;
}

/** What follows from the evidence and from the verdicts that stand. */
interface Assessed extends CrashAssessment {
    suspects: Record<string, number>;
    known: ReadonlySet<string>;
    assessedAt: number;
    /** Instant until which it is reused although the evidence has changed. */
    reusedUntil: number;
    validUntil: number;
}

/**
 * Decides which requests and which parts of prompts crash endpoints. A suspect is accused by crashes of distinct
 * lifetimes in each of which a request with it was waiting for its answer to begin; an answer that begins on a suspect
 * clears it of all earlier crashes. Crashes that an accused suspect explains do not accuse those that occur beside it.
 */
export class CrashJudge {
    private crashes = new Map<string, RecordedCrash>();
    private readonly begunAt = new Map<string, number>();
    private readonly clearedAt = new Map<string, number>();
    private assessed: Assessed | undefined;
    private hasChanged = false;

    /** Merges a report that was sent at `sentAt`; reports of several ingresses on one lifetime are one crash. */
    recordReport(
        { endpoint, startedAt, ageMs, parts, requests = [] }: z.input<typeof crashReportSchema>,
        sentAt: number,
    ): void {
        const key = `${endpoint} ${startedAt ?? ""}`;
        const crash = this.crashes.get(key)
            ?? { endpoint, at: sentAt - ageMs, requests: new Map<string, WaitingRequest>() };
        crash.at = Math.min(crash.at, sentAt - ageMs);
        this.crashes.set(key, crash);
        const unattributed = new Set(parts);
        for (const { id, parts: indices } of requests) {
            const carried = indices.flatMap(i => parts[i] ?? []);
            carried.forEach(part => unattributed.delete(part));
            if (isRequestKey(id)) {
                addRequest(crash, id, carried, sentAt);
            }
        }
        if (unattributed.size > 0) {
            // An earlier version names no requests; its parts count as those of one request that never comes again.
            addRequest(crash, `unknown:${key}`, unattributed, sentAt);
        }
        this.limitRequests(crash);
        this.hasChanged = true;
    }

    /** Records that an answer on a suspect had begun by the instant `at`. */
    recordBegun(key: string, at: number): void {
        const before = this.begunAt.get(key);
        if (at <= (before ?? -Infinity)) {
            return;
        }
        this.begunAt.set(key, at);
        this.hasChanged ||= before === undefined
            || [...this.crashes.values()].some(crash => crash.at > before && crash.at <= at);
    }

    /** Returns the instant of the last answer that is known to have begun on a suspect. */
    lastBegun(key: string): number | undefined {
        return this.begunAt.get(key);
    }

    /** Drops all evidence against a suspect, for instance after an operator has lifted its verdict. */
    clear(key: string, now: number): void {
        this.clearedAt.set(key, now);
        this.hasChanged = true;
    }

    /**
     * Returns the suspects and the number of crashes that accuse each, those with most first: parts from the first
     * crash on, requests from the second on. Crashes that a more accused suspect explains do not count against a request,
     * which is named all the same, so that ingresses report its answers. `known` are suspects whose verdict stands.
     */
    suspects(now: number, known: ReadonlySet<string> = new Set()): Record<string, number> {
        return this.assess(now, known).suspects;
    }

    /**
     * Returns the suspects that crash endpoints. `settleMs` is the time that all ingresses need to report answers that
     * have begun on a suspect; `known` are suspects whose verdict stands, which explain crashes too.
     */
    verdicts(now: number, settleMs: number, known: ReadonlySet<string> = new Set()): BlockedPart[] {
        return this.assess(now, known).accusations
            .filter(({ completeAt, openUntil }) => now >= Math.max(openUntil, completeAt + settleMs))
            .map(({ key, crashes }) => ({ part: key, endpoints: crashes.map(({ endpoint }) => endpoint) }));
    }

    private assess(now: number, known: ReadonlySet<string>): Assessed {
        const { assessed } = this;
        if (
            assessed !== undefined && isSameSet(known, assessed.known) && now >= assessed.assessedAt
            && now < (this.hasChanged ? assessed.reusedUntil : assessed.validUntil)
        ) {
            return assessed;
        }
        this.hasChanged = false;
        this.dropOld(now);
        const crashes = [...this.crashes.values()];
        const assessment = assessCrashes({
            crashes,
            known,
            accuses: (crash, key) => this.accuses(crash, key),
            wasAnswered: key => this.begunAt.has(key),
            now,
        });
        const suspects = [...assessment.requestCrashes, ...this.countParts(crashes)].sort(([, a], [, b]) => b - a)
            .slice(0, maxSuspects);
        const waiting = crashes.reduce((sum, { requests }) => sum + requests.size, 0);
        return this.assessed = {
            ...assessment,
            suspects: Object.fromEntries(suspects),
            known: new Set(known),
            assessedAt: now,
            reusedUntil: now + Math.max(0, waiting - assessedAtOnce) / requestsPerReusedMs,
            validUntil: now + assessmentLifetimeMs,
        };
    }

    private countParts(crashes: readonly Crash[]): Map<string, number> {
        const counts = new Map<string, number>();
        for (const crash of crashes) {
            for (const part of new Set([...crash.requests.values()].flatMap(({ parts }) => [...parts]))) {
                if (this.accuses(crash, part)) {
                    counts.set(part, (counts.get(part) ?? 0) + 1);
                }
            }
        }
        return counts;
    }

    private accuses(crash: Crash, key: string): boolean {
        return Math.max(this.begunAt.get(key) ?? -Infinity, this.clearedAt.get(key) ?? -Infinity) < crash.at;
    }

    /** Keeps the requests of a crash that other crashes accuse too, then the newest. */
    private limitRequests(crash: RecordedCrash): void {
        if (crash.requests.size <= maxRequestsPerCrash) {
            return;
        }
        const others = [...this.crashes.values()].filter(other => other !== crash);
        const [repeated, single]: [string[], string[]] = [[], []];
        for (const id of crash.requests.keys()) {
            (others.some(({ requests }) => requests.has(id)) ? repeated : single).push(id);
        }
        for (const id of [...single, ...repeated].slice(0, crash.requests.size - maxRequestsPerCrash)) {
            crash.requests.delete(id);
        }
    }

    /** Drops requests of the oldest crashes that no other crash accuses while there are too many in all crashes. */
    private limitAllRequests(): void {
        const crashes = [...this.crashes.values()];
        let excess = crashes.reduce((sum, { requests }) => sum + requests.size, 0) - maxRequests;
        if (excess <= 0) {
            return;
        }
        const occurrences = new Map<string, number>();
        for (const id of crashes.flatMap(({ requests }) => [...requests.keys()])) {
            occurrences.set(id, (occurrences.get(id) ?? 0) + 1);
        }
        for (const { requests } of crashes) {
            for (const id of requests.keys()) {
                if (excess > 0 && occurrences.get(id) === 1) {
                    requests.delete(id);
                    excess--;
                }
            }
        }
    }

    private dropOld(now: number): void {
        const recent = [...this.crashes].filter(([, { at }]) => now - at < crashEvidenceMs);
        this.crashes = new Map(recent.sort(([, a], [, b]) => a.at - b.at).slice(-maxCrashes));
        this.limitAllRequests();
        for (const instants of [this.begunAt, this.clearedAt]) {
            for (const [key, at] of instants) {
                if (now - at >= crashEvidenceMs) {
                    instants.delete(key);
                }
            }
        }
    }
}

function addRequest(crash: RecordedCrash, id: string, parts: Iterable<string>, heardAt: number): void {
    const request = crash.requests.get(id) ?? { parts: new Set<string>(), heardAt };
    crash.requests.set(id, {
        ...request,
        parts: new Set([...request.parts, ...parts].slice(0, maxPartsPerRequest)),
    });
}

function isSameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
    return a.size === b.size && [...a].every(key => b.has(key));
}
