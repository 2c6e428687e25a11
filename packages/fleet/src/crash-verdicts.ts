import { accusingRequestCrashes, isRequestKey, suspectedRequestCrashes } from "./crash-evidence.ts";

/** Number of crashes that accuse a part, of which each request adds at most `maxCrashesPerRequest`. */
const accusingPartCrashes = 4;
const maxCrashesPerRequest = 2;
/** Number of requests whose crashes accuse a part; fewer accuse the requests themselves. */
const accusingPartRequests = 3;
/** Number of crashes of an accused request that no suspect before it explains. */
const minUnexplainedCrashes = 2;
/**
 * Time for which a verdict waits if other repeated requests waited in most of the crashes, in milliseconds. Meanwhile
 * requests of the suspect are withheld, and answers to the others or further crashes show which of them is the cause.
 */
const contestMs = 5_000;
/** The same if other repeated requests waited in fewer of the crashes. */
const doubtMs = 2_000;
/** Number of unexplained crashes from which a request is accused whatever waited beside it, also if it was answered lately. */
const decisiveCrashes = 6;
/** Time after which a lost sync has been repeated, so that the crashes that other ingresses saw are known. */
const lostSyncMs = 1_000;
/** The same time for a request that was answered lately, more likely the companion of a cause than a cause itself. */
const answeredLatelyMs = 2_000;
/**
 * Time that must lie between the crashes of a suspect that was answered lately, in milliseconds. An outage that ends all
 * endpoints of a service at once leaves none that could clear what is sent to it all the time.
 */
const outageMs = 1_000;

/** A request whose answer had not begun when an endpoint crashed. */
export interface WaitingRequest {
    parts: ReadonlySet<string>;
    /** Instant of the first report of it; a leader that is new hears of old crashes. */
    heardAt: number;
}

/** The end of one lifetime of an endpoint, as all ingresses have reported it. */
export interface Crash {
    endpoint: string;
    at: number;
    requests: ReadonlyMap<string, WaitingRequest>;
}

/** The crashes and what is known of the suspects that waited in them. */
export interface CrashEvidence {
    crashes: readonly Crash[];
    /** Suspects whose verdicts stand; they explain the crashes in which they waited. */
    known: ReadonlySet<string>;
    /** Whether a crash counts against a suspect, which an answer that began on it later rules out. */
    accuses(crash: Crash, key: string): boolean;
    /** Whether an answer has begun on a suspect within the time for which crashes count. */
    wasAnswered(key: string): boolean;
    now: number;
}

/** A suspect with enough crashes for a verdict. */
export interface Accusation {
    key: string;
    crashes: readonly Crash[];
    /** Instant at which the crash that completed the evidence was heard of. */
    completeAt: number;
    /** Instant until which a verdict waits for further evidence. */
    openUntil: number;
}

export interface CrashAssessment {
    /** The most accused first; the crashes that one explains do not accuse those after it. */
    accusations: readonly Accusation[];
    /**
     * Number of crashes of each repeated request that none of the known suspects explains; no more than make a request
     * suspect if it is not accused.
     */
    requestCrashes: ReadonlyMap<string, number>;
}

/** The crashes that accuse a part, each assigned to one request that carries the part. */
interface PartCover {
    key: string;
    crashes: readonly Crash[];
    assigned: readonly { request: string; crashes: readonly Crash[]; }[];
}

type Groups = Map<string, Crash[]>;

/** Finds out which suspects the crashes accuse, and which of them would explain them best. */
export function assessCrashes(evidence: CrashEvidence): CrashAssessment {
    return new Assessor(evidence).assess();
}

class Assessor {
    /** Crashes of the requests that more than one accuses. */
    private readonly requests: Groups = new Map();
    private readonly parts: Groups = new Map();
    private readonly explaining: Set<string>;

    constructor(private readonly evidence: CrashEvidence) {
        const { crashes, known } = evidence;
        this.explaining = new Set(known);
        for (const crash of crashes) {
            const isOpen = !isExplained(crash, known);
            const parts = new Set<string>();
            for (const [id, request] of crash.requests) {
                request.parts.forEach(part => parts.add(part));
                if (isOpen && isRequestKey(id)) {
                    this.add(this.requests, id, crash);
                }
            }
            parts.forEach(part => this.add(this.parts, part, crash));
        }
        dropShort(this.requests, suspectedRequestCrashes);
        dropShort(this.parts, accusingPartRequests);
    }

    assess(): CrashAssessment {
        const accusations: Accusation[] = [];
        for (;;) {
            const accusation = this.mostAccused();
            if (accusation === undefined) {
                break;
            }
            accusations.push(accusation);
            this.explaining.add(accusation.key);
        }
        const requestCrashes = [...this.requests].map(([key, crashes]): [string, number] => {
            // Requests that a part covers are withheld too until its answers or its verdict decide.
            const isAccused = this.explaining.has(key) || this.accuseRequest(key, crashes) !== undefined;
            return [key, isAccused ? crashes.length : suspectedRequestCrashes];
        });
        return { accusations, requestCrashes: new Map(requestCrashes) };
    }

    private add(groups: Groups, key: string, crash: Crash): void {
        if (this.evidence.accuses(crash, key)) {
            const group = groups.get(key);
            if (group === undefined) {
                groups.set(key, [crash]);
            }
            else {
                group.push(crash);
            }
        }
    }

    private mostAccused(): Accusation | undefined {
        const isOpen = ([key]: readonly [string, unknown]): boolean => !this.explaining.has(key);
        const covers = [...this.parts].filter(isOpen)
            .map(([key, crashes]) =>
                coverPart(key, crashes.filter(crash => !isExplainedForPart(crash, key, this.explaining)))
            )
            .filter(({ assigned }) => assigned.length >= accusingPartRequests);
        const parts = covers.flatMap(cover => this.accusePart(cover) ?? []);
        const requests = [...this.requests].filter(isOpen)
            .flatMap(([key, crashes]) => this.accuseRequest(key, crashes) ?? [])
            // Sound requests that are repeated through a series of crashes must not take the blame for a part.
            .filter(({ crashes }) => !covers.some(cover => crashes.every(crash => cover.crashes.includes(crash))));
        return [...parts, ...requests].reduce<Accusation | undefined>(
            (most, entry) => most === undefined || this.isMoreAccused(entry, most) ? entry : most,
            undefined,
        );
    }

    /** What has been answered lately is the last to be accused, since a suspect that crashes all endpoints never is. */
    private isMoreAccused(a: Accusation, b: Accusation): boolean {
        const rank = ({ key, crashes }: Accusation): number[] => [
            this.evidence.wasAnswered(key) && crashes.length < decisiveCrashes ? 0 : 1,
            crashes.length,
            isRequestKey(key) ? 0 : 1,
            isRequestKey(key) ? Math.max(...crashes.map(({ at }) => at)) : 0,
        ];
        const [ranksOfA, ranksOfB] = [rank(a), rank(b)];
        const i = ranksOfA.findIndex((value, j) => value !== ranksOfB[j]);
        return (ranksOfA[i] ?? 0) > (ranksOfB[i] ?? 0);
    }

    /** Returns the accusation of a part, or undefined if its crashes come from too few requests. */
    private accusePart({ key, crashes, assigned }: PartCover): Accusation | undefined {
        const { now } = this.evidence;
        const uncontested = crashes.filter(crash => !this.isContested(crash, key, crashes));
        let completeAt = partCompleteAt(assigned);
        if (uncontested.length < crashes.length && now - completeAt < contestMs) {
            completeAt = partCompleteAt(coverPart(key, uncontested).assigned);
        }
        return completeAt === Infinity
            ? undefined
            : { key, crashes, completeAt, openUntil: this.mayBeOutage(key, crashes) ? Infinity : completeAt };
    }

    /** Returns the accusation of a request, or undefined if it has too few crashes or others explain them. */
    private accuseRequest(key: string, crashes: readonly Crash[]): Accusation | undefined {
        const unexplained = crashes.filter(crash => !isExplained(crash, this.explaining));
        if (crashes.length < accusingRequestCrashes || unexplained.length < minUnexplainedCrashes) {
            return undefined;
        }
        const heardAt = crashes.map(({ requests }) => requests.get(key)?.heardAt ?? Infinity);
        const completeAt = nthSmallest(heardAt, accusingRequestCrashes);
        const uncontested = unexplained.filter(crash => !this.isContested(crash, key)).length;
        const contestedMs = uncontested < minUnexplainedCrashes ? contestMs : doubtMs;
        const openUntil = Math.max(
            completeAt + (this.evidence.wasAnswered(key) ? answeredLatelyMs : lostSyncMs),
            uncontested < accusingRequestCrashes && unexplained.length < decisiveCrashes
                ? Math.max(...heardAt) + contestedMs
                : -Infinity,
        );
        // Withheld as long as another request, that waited in all of its crashes and in more, is in doubt.
        const isCovered = [...this.requests].some(([other, covered]) =>
            other !== key && covered.length > crashes.length && crashes.every(crash => covered.includes(crash))
        );
        const isOpen = isCovered || this.mayBeOutage(key, crashes);
        return { key, crashes: unexplained, completeAt, openUntil: isOpen ? Infinity : openUntil };
    }

    private mayBeOutage(key: string, crashes: readonly Crash[]): boolean {
        const instants = crashes.map(({ at }) => at);
        return this.evidence.wasAnswered(key) && Math.max(...instants) - Math.min(...instants) < outageMs;
    }

    /**
     * Whether a repeated request that is not the suspect and does not carry it waited in a crash. Requests all of whose
     * crashes are among `explained` do not count.
     */
    private isContested(crash: Crash, suspect: string, explained: readonly Crash[] = []): boolean {
        return [...crash.requests].some(([id, { parts }]) => {
            const crashes = id === suspect || parts.has(suspect) ? undefined : this.requests.get(id);
            return crashes?.includes(crash) === true && crashes.some(other => !explained.includes(other));
        });
    }
}

function dropShort(groups: Groups, crashes: number): void {
    for (const [key, group] of groups) {
        if (group.length < crashes) {
            groups.delete(key);
        }
    }
}

/** Assigns the crashes of a part to the requests that carry it, the request that covers most of them first. */
function coverPart(key: string, crashes: readonly Crash[]): PartCover {
    let byRequest: Groups = new Map();
    for (const crash of crashes) {
        for (const [id, { parts }] of crash.requests) {
            if (parts.has(key)) {
                const group = byRequest.get(id);
                byRequest.set(id, group === undefined ? [crash] : [...group, crash]);
            }
        }
    }
    const assigned: { request: string; crashes: readonly Crash[]; }[] = [];
    const covered = new Set<Crash>();
    const assign = (request: string, group: readonly Crash[]): void => {
        const crashes = group.filter(crash => !covered.has(crash));
        if (crashes.length > 0) {
            assigned.push({ request, crashes });
            crashes.forEach(crash => covered.add(crash));
        }
    };
    while (covered.size < crashes.length) {
        const [request, group] = [...byRequest].reduce((most, entry) =>
            entry[1].length > most[1].length ? entry : most
        );
        if (group.length === 1) {
            byRequest.forEach((rest, id) => assign(id, rest));
            break;
        }
        assign(request, group);
        byRequest = new Map(
            [...byRequest].map(([id, rest]): [string, Crash[]] => [id, rest.filter(crash => !covered.has(crash))])
                .filter(([, rest]) => rest.length > 0),
        );
    }
    return { key, crashes, assigned };
}

/** Returns the instant at which the evidence against a part was complete, or Infinity if it is not. */
function partCompleteAt(assigned: PartCover["assigned"]): number {
    const heardAt = assigned.map(({ request, crashes }) => {
        const all = crashes.map(({ requests }) => requests.get(request)?.heardAt ?? Infinity).sort((a, b) => a - b);
        // A request with as many crashes is accused itself.
        return all.slice(0, all.length < accusingRequestCrashes ? maxCrashesPerRequest : 1);
    });
    return Math.max(
        nthSmallest(heardAt.map(([first]) => first ?? Infinity), accusingPartRequests),
        nthSmallest(heardAt.flat(), accusingPartCrashes),
    );
}

function nthSmallest(values: readonly number[], n: number): number {
    return [...values].sort((a, b) => a - b)[n - 1] ?? Infinity;
}

/** Whether a crash holds one of the suspects that explain crashes. */
export function isExplained({ requests }: Crash, explaining: ReadonlySet<string>): boolean {
    return explaining.size > 0
        && [...requests].some(([id, { parts }]) => explaining.has(id) || [...parts].some(part => explaining.has(part)));
}

/** A crash that a request explains still counts for the parts of that request, since one of them may be the cause. */
function isExplainedForPart({ requests }: Crash, key: string, explaining: ReadonlySet<string>): boolean {
    return explaining.size > 0
        && [...requests].some(([id, { parts }]) =>
            explaining.has(id) && !parts.has(key) || [...parts].some(part => explaining.has(part))
        );
}
