import { crashEvidenceMs, type CrashReport, isRequestKey, type RequestSuspects } from "./crash-evidence.ts";
import type { EndpointLifetime } from "./endpoint-directory.ts";

const maxCrashes = 64;
/** Number of requests that one report names; a crash with more is reported in several. */
const maxRequestsPerReport = 64;
const maxRequestsPerCrash = 256;
const maxPartsPerRequest = 64;

interface WaitingRequest {
    parts: Set<string>;
    /** Evidence of a leader that has heard of the request in this crash. */
    heardBy: string | undefined;
}

interface OwnCrash {
    lifetime: EndpointLifetime;
    at: number;
    requests: Map<string, WaitingRequest>;
}

/** Number of crashes that an ingress has seen with a suspect. */
export interface OwnCrashCount {
    /** Those of which the leader has heard. */
    reported: number;
    unreported: number;
}

/** The crashes that one ingress has seen, with the requests that waited for their answers to begin. */
export class OwnCrashes {
    private crashes: OwnCrash[] = [];

    /** Records that a request was waiting at an endpoint that crashed at `at`. */
    record({ id, startedAt }: EndpointLifetime, { request, parts }: RequestSuspects, at: number): void {
        const known = this.find(id, startedAt);
        const crash = known ?? { lifetime: { id, startedAt }, at, requests: new Map<string, WaitingRequest>() };
        const waiting = crash.requests.get(request) ?? { parts: new Set<string>(), heardBy: undefined };
        for (const part of parts) {
            if (!waiting.parts.has(part) && waiting.parts.size < maxPartsPerRequest) {
                waiting.parts.add(part);
                waiting.heardBy = undefined;
            }
        }
        crash.requests.set(request, waiting);
        if (crash.requests.size > maxRequestsPerCrash) {
            const dropped = [...crash.requests.keys()].find(key => !this.isRepeated(key))
                ?? [...crash.requests.keys()][0];
            crash.requests.delete(dropped ?? request);
        }
        if (known === undefined) {
            this.crashes = [...this.crashes, crash].slice(-maxCrashes);
        }
    }

    /**
     * Returns the crashes of which the leader with the evidence `leader` is not known to have heard. `isCleared` says
     * whether an answer has begun on a suspect since a crash. Requests that `isSuspected` or other crashes name come
     * first, then the newest.
     */
    reports(
        now: number,
        leader: string | undefined,
        isCleared: (key: string, at: number) => boolean,
        isSuspected: (key: string) => boolean,
    ): CrashReport[] {
        this.crashes = this.crashes.filter(({ at }) => now - at < crashEvidenceMs);
        return this.crashes.flatMap(({ lifetime, at, requests }) => {
            const unheard = [...requests].reverse()
                .filter(([key, { heardBy }]) => !isHeard(heardBy, leader) && !isCleared(key, at));
            const repeated = unheard.filter(([key]) => isSuspected(key) || this.isRepeated(key));
            const named = [...new Map([...repeated, ...unheard])].slice(0, maxRequestsPerReport)
                .map(([id, { parts }]) => ({ id, parts: [...parts].filter(part => !isCleared(part, at)) }));
            const parts = [...new Set(named.flatMap(request => request.parts))];
            const indices = new Map(parts.map((part, i) => [part, i]));
            return named.length === 0 ? [] : [{
                endpoint: lifetime.id,
                startedAt: lifetime.startedAt,
                ageMs: now - at,
                parts,
                requests: named.map(request => ({
                    id: request.id,
                    parts: request.parts.flatMap(part => indices.get(part) ?? []),
                })),
            }];
        });
    }

    /** Records that the leader with the evidence `leader` has heard these reports. */
    acknowledge(leader: string, reports: readonly CrashReport[]): void {
        for (const { endpoint, startedAt, requests } of reports) {
            const crash = this.find(endpoint, startedAt);
            for (const { id } of requests) {
                const waiting = crash?.requests.get(id);
                if (waiting !== undefined) {
                    waiting.heardBy = leader;
                }
            }
        }
    }

    /** Counts the crashes with a suspect since the instant `begunAt`, except those that one of `blocked` explains. */
    count(key: string, begunAt: number, leader: string | undefined, blocked: ReadonlySet<string>): OwnCrashCount {
        const counts = { reported: 0, unreported: 0 };
        for (const { at, requests } of this.crashes) {
            const holders = at < begunAt ? [] : holdersOf(requests, key);
            if (holders.length > 0 && !isExplained(requests, blocked)) {
                counts[holders.every(({ heardBy }) => isHeard(heardBy, leader)) ? "reported" : "unreported"]++;
            }
        }
        return counts;
    }

    /** Whether a request is known to have waited when a lifetime of an endpoint ended in a crash. */
    has({ id, startedAt }: EndpointLifetime, request: string): boolean {
        return this.find(id, startedAt)?.requests.has(request) === true;
    }

    /** Drops a suspect from the evidence. */
    forget(key: string): void {
        for (const { requests } of this.crashes) {
            requests.delete(key);
            requests.forEach(({ parts }) => parts.delete(key));
        }
    }

    private find(id: string, startedAt: number | undefined): OwnCrash | undefined {
        return this.crashes.find(({ lifetime }) => lifetime.id === id && lifetime.startedAt === startedAt);
    }

    private isRepeated(key: string): boolean {
        return this.crashes.filter(({ requests }) => requests.has(key)).length > 1;
    }
}

function holdersOf(requests: OwnCrash["requests"], key: string): WaitingRequest[] {
    const request = requests.get(key);
    if (request !== undefined) {
        return [request];
    }
    return isRequestKey(key) ? [] : [...requests.values()].filter(({ parts }) => parts.has(key));
}

function isHeard(heardBy: string | undefined, leader: string | undefined): boolean {
    return leader !== undefined && heardBy === leader;
}

function isExplained(requests: OwnCrash["requests"], blocked: ReadonlySet<string>): boolean {
    return blocked.size > 0
        && [...requests].some(([id, { parts }]) => blocked.has(id) || [...parts].some(part => blocked.has(part)));
}
