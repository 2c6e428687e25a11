import { accusingRequestCrashes, isRequestKey, suspectedRequestCrashes } from "./crash-evidence.ts";

/** Number of crashes that accuse a part, of which each request adds at most `maxCrashesPerRequest`. */
const accusingPartCrashes = 4;
const maxCrashesPerRequest = 2;
/** Number of requests whose crashes accuse a part; fewer accuse the requests themselves. */
const accusingPartRequests = 3;
/** Number of crashes of an accused request that no suspect before it explains. */
const minUnexplainedCrashes = 2;
/**
 * Number of crashes from which a single unexplained one accuses a request, if no other repeated request waited in it.
 * Requests that crash endpoints at the same time explain one another's crashes; if each needed two unexplained ones, they
 * would be let go and sent again in turn.
 */
const singlyAccusingCrashes = 4;
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
     * Number of crashes of each repeated request, those that known suspects explain included; no more than make a request
     * suspect if it is not accused.
     */
    requestCrashes: ReadonlyMap<string, number>;
}

/** The crashes that accuse a part, each assigned to one request that carries the part. */
interface PartCover {
    key: string;
    crashes: ReadonlySet<Crash>;
    assigned: readonly { request: string; crashes: readonly Crash[]; }[];
}

type Groups = Map<string, Crash[]>;

/** Finds out which suspects the crashes accuse, and which of them would explain them best. */
export function assessCrashes(evidence: CrashEvidence): CrashAssessment {
    return new Assessor(evidence).assess();
}

class Assessor {
    /** Crashes that no known suspect explains, of the requests that more than one accuses. */
    private readonly requests: Groups = new Map();
    /** Crashes of requests that known suspects explain. */
    private readonly knownCrashes: Groups = new Map();
    private readonly parts: Groups = new Map();
    /** The requests that carry a part, by part and crash. */
    private readonly carriers = new Map<string, Map<Crash, string[]>>();
    /** The known suspects and those accused so far that waited in a crash. */
    private readonly explaining = new Map<Crash, string[]>();
    private readonly accused = new Set<string>();
    /** The repeated requests that waited in a crash. */
    private readonly repeated = new Map<Crash, string[]>();
    private readonly covers = new Map<string, PartCover | undefined>();

    constructor(private readonly evidence: CrashEvidence) {
        const { crashes, known } = evidence;
        for (const crash of crashes) {
            for (const [id, { parts }] of crash.requests) {
                parts.forEach(part => this.addCarrier(part, crash, id));
            }
        }
        known.forEach(key => this.explain(key));
        for (const crash of crashes) {
            for (const id of crash.requests.keys()) {
                if (isRequestKey(id) && evidence.accuses(crash, id)) {
                    addTo(this.isExplained(crash) ? this.knownCrashes : this.requests, id, crash);
                }
            }
        }
        for (const [part, byCrash] of this.carriers) {
            const accusing = [...byCrash.keys()].filter(crash => evidence.accuses(crash, part));
            if (accusing.length >= accusingPartRequests) {
                this.parts.set(part, accusing);
            }
        }
        for (const [id, group] of this.requests) {
            if (this.countCrashes(id) < suspectedRequestCrashes) {
                this.requests.delete(id);
            }
            else if (group.length >= suspectedRequestCrashes) {
                group.forEach(crash => this.repeated.set(crash, [...this.repeated.get(crash) ?? [], id]));
            }
        }
    }

    assess(): CrashAssessment {
        const accusations: Accusation[] = [];
        for (;;) {
            const accusation = this.mostAccused();
            if (accusation === undefined) {
                break;
            }
            accusations.push(accusation);
            this.explain(accusation.key);
        }
        return { accusations, requestCrashes: this.countRequestCrashes() };
    }

    private countRequestCrashes(): Map<string, number> {
        const counts = new Map<string, number>();
        for (const [key, crashes] of this.requests) {
            // Requests that a part covers are withheld too until its answers or its verdict decide.
            const isAccused = this.accused.has(key) || this.accuseRequest(key, crashes) !== undefined;
            counts.set(key, isAccused ? this.countCrashes(key) : suspectedRequestCrashes);
        }
        for (const [key, crashes] of this.knownCrashes) {
            // Such a request is let go, but not repeated if it takes several suspects to explain its crashes.
            if (!counts.has(key) && !this.accused.has(key) && !this.isExplainedByOne(crashes)) {
                counts.set(key, suspectedRequestCrashes);
            }
        }
        return counts;
    }

    /** Number of crashes of a request, whether known suspects explain them or not. */
    private countCrashes(key: string): number {
        return (this.knownCrashes.get(key)?.length ?? 0) + (this.requests.get(key)?.length ?? 0);
    }

    private addCarrier(part: string, crash: Crash, request: string): void {
        const byCrash = this.carriers.get(part) ?? new Map<Crash, string[]>();
        this.carriers.set(part, byCrash);
        const requests = byCrash.get(crash);
        if (requests === undefined) {
            byCrash.set(crash, [request]);
        }
        else {
            requests.push(request);
        }
    }

    private explain(key: string): void {
        this.accused.add(key);
        for (const crash of this.evidence.crashes) {
            if (crash.requests.has(key) || this.carriers.get(key)?.has(crash) === true) {
                this.explaining.set(crash, [...this.explaining.get(crash) ?? [], key]);
                for (const { parts } of crash.requests.values()) {
                    parts.forEach(part => this.covers.delete(part));
                }
            }
        }
    }

    private isExplainedByOne(crashes: readonly Crash[]): boolean {
        const [first, ...rest] = crashes.map(crash => this.explaining.get(crash) ?? []);
        return first?.some(key => rest.every(keys => keys.includes(key))) === true;
    }

    private isExplained(crash: Crash): boolean {
        return this.explaining.has(crash);
    }

    /** A crash that a request explains still counts for the parts of that request, since one of them may be the cause. */
    private isExplainedForPart(crash: Crash, part: string): boolean {
        return this.explaining.get(crash)?.some(key => crash.requests.get(key)?.parts.has(part) !== true) === true;
    }

    private mostAccused(): Accusation | undefined {
        const isOpen = ([key]: readonly [string, unknown]): boolean => !this.accused.has(key);
        const covers = [...this.parts].filter(isOpen).flatMap(([key, crashes]) => this.findCover(key, crashes) ?? []);
        const parts = covers.flatMap(cover => this.accusePart(cover) ?? []);
        const requests = [...this.requests].filter(isOpen)
            .flatMap(([key, crashes]) => this.accuseRequest(key, crashes) ?? [])
            // Sound requests that are repeated through a series of crashes must not take the blame for a part.
            .filter(({ crashes }) => !covers.some(cover => crashes.every(crash => cover.crashes.has(crash))));
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
        let completeAt = partCompleteAt(assigned);
        if (completeAt === Infinity) {
            return undefined;
        }
        const uncontested = [...crashes].filter(crash => !this.isContested(crash, key, crashes));
        if (uncontested.length < crashes.size && this.evidence.now - completeAt < contestMs) {
            completeAt = partCompleteAt(this.coverPart(key, uncontested).assigned);
        }
        const all = [...crashes];
        return completeAt === Infinity
            ? undefined
            : { key, crashes: all, completeAt, openUntil: this.mayBeOutage(key, all) ? Infinity : completeAt };
    }

    /** Returns the accusation of a request, or undefined if it has too few crashes or others explain them. */
    private accuseRequest(key: string, crashes: readonly Crash[]): Accusation | undefined {
        const count = this.countCrashes(key);
        if (count < accusingRequestCrashes) {
            return undefined;
        }
        const unexplained = crashes.filter(crash => !this.isExplained(crash));
        const needsSingle = unexplained.length < minUnexplainedCrashes;
        if (unexplained.length === 0 || needsSingle && count < singlyAccusingCrashes) {
            return undefined;
        }
        const uncontested = unexplained.filter(crash => !this.isContested(crash, key)).length;
        if (needsSingle && (uncontested === 0 || this.evidence.wasAnswered(key))) {
            return undefined;
        }
        const heardAt = [...this.knownCrashes.get(key) ?? [], ...crashes]
            .map(({ requests }) => requests.get(key)?.heardAt ?? Infinity);
        const completeAt = nthSmallest(heardAt, accusingRequestCrashes);
        const contestedMs = uncontested < minUnexplainedCrashes ? contestMs : doubtMs;
        const openUntil = Math.max(
            completeAt + (this.evidence.wasAnswered(key) ? answeredLatelyMs : lostSyncMs),
            uncontested < accusingRequestCrashes && unexplained.length < decisiveCrashes
                ? Math.max(...heardAt) + contestedMs
                : -Infinity,
        );
        const isOpen = this.mayBeOutage(key, crashes) || this.isCovered(key, crashes);
        return { key, crashes: unexplained, completeAt, openUntil: isOpen ? Infinity : openUntil };
    }

    private mayBeOutage(key: string, crashes: readonly Crash[]): boolean {
        const instants = crashes.map(({ at }) => at);
        return this.evidence.wasAnswered(key) && Math.max(...instants) - Math.min(...instants) < outageMs;
    }

    /** Whether another repeated request waited in all of these crashes and in more, so that it is in doubt first. */
    private isCovered(key: string, crashes: readonly Crash[]): boolean {
        return crashes[0] !== undefined && (this.repeated.get(crashes[0]) ?? []).some(other => {
            const covered = other === key ? [] : this.requests.get(other) ?? [];
            return covered.length > crashes.length && crashes.every(crash => covered.includes(crash));
        });
    }

    /**
     * Whether a repeated request that is not the suspect and does not carry it waited in a crash. Requests all of whose
     * crashes are among `explained` do not count.
     */
    private isContested(crash: Crash, suspect: string, explained: ReadonlySet<Crash> = new Set()): boolean {
        return (this.repeated.get(crash) ?? []).some(id =>
            id !== suspect && crash.requests.get(id)?.parts.has(suspect) !== true
            && this.requests.get(id)?.some(other => !explained.has(other)) === true
        );
    }

    /** Returns the unexplained crashes of a part, or undefined if they come from too few requests to accuse it. */
    private findCover(key: string, crashes: readonly Crash[]): PartCover | undefined {
        if (!this.covers.has(key)) {
            const unexplained = crashes.filter(crash => !this.isExplainedForPart(crash, key));
            const cover = unexplained.length < accusingPartRequests ? undefined : this.coverPart(key, unexplained);
            const isShared = cover !== undefined && cover.assigned.length >= accusingPartRequests;
            this.covers.set(key, isShared ? cover : undefined);
        }
        return this.covers.get(key);
    }

    /** Assigns the crashes of a part to the requests that carry it, the request that covers most of them first. */
    private coverPart(key: string, crashes: readonly Crash[]): PartCover {
        let byRequest: Groups = new Map();
        for (const crash of crashes) {
            this.carriers.get(key)?.get(crash)?.forEach(id => addTo(byRequest, id, crash));
        }
        const assigned: { request: string; crashes: readonly Crash[]; }[] = [];
        const covered = new Set<Crash>();
        const assign = (request: string, group: readonly Crash[]): void => {
            const uncovered = group.filter(crash => !covered.has(crash));
            if (uncovered.length > 0) {
                assigned.push({ request, crashes: uncovered });
                uncovered.forEach(crash => covered.add(crash));
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
        return { key, crashes: new Set(crashes), assigned };
    }
}

function addTo(groups: Groups, key: string, crash: Crash): void {
    const group = groups.get(key);
    if (group === undefined) {
        groups.set(key, [crash]);
    }
    else {
        group.push(crash);
    }
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
