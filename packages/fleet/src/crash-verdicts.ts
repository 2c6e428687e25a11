import { accusingRequestCrashes, type BlockedPart, isRequestKey } from "./crash-evidence.ts";

/** Number of crashes that accuse a part, of which each request adds at most `maxCrashesPerRequest`. */
const accusingPartCrashes = 4;
const maxCrashesPerRequest = 2;
/** Number of requests whose crashes accuse a part; fewer accuse the requests themselves. */
const accusingPartRequests = 3;

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

/** Whether a crash counts against a suspect, which an answer that began on it later rules out. */
type Accuses = (crash: Crash, key: string) => boolean;

/** A suspect with enough crashes for a verdict. */
interface Accusation {
    key: string;
    crashes: readonly Crash[];
    /** Instant at which the crash that completed the evidence was heard of. */
    completeAt: number;
}

/** The crashes that accuse a part, each assigned to one request that carries the part. */
interface PartCover {
    key: string;
    crashes: readonly Crash[];
    assigned: readonly { request: string; crashes: readonly Crash[]; }[];
}

type Groups = Map<string, Crash[]>;

function nthSmallest(values: readonly number[], n: number): number {
    return [...values].sort((a, b) => a - b)[n - 1] ?? Infinity;
}

/** Groups the crashes by the suspects that they accuse, and leaves out suspects with too few for any verdict. */
function groupByKey(crashes: readonly Crash[], accuses: Accuses): { requests: Groups; parts: Groups; } {
    const requests: Groups = new Map();
    const parts: Groups = new Map();
    const add = (groups: Groups, key: string, crash: Crash): void => {
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [crash]);
        }
        else if (group.at(-1) !== crash) {
            group.push(crash);
        }
    };
    for (const crash of crashes) {
        for (const [id, request] of crash.requests) {
            if (isRequestKey(id)) {
                add(requests, id, crash);
            }
            request.parts.forEach(part => add(parts, part, crash));
        }
    }
    for (const groups of [requests, parts]) {
        for (const [key, group] of groups) {
            const accusing = group.length < accusingRequestCrashes
                ? []
                : group.filter(crash => accuses(crash, key));
            if (accusing.length < accusingRequestCrashes) {
                groups.delete(key);
            }
            else {
                groups.set(key, accusing);
            }
        }
    }
    return { requests, parts };
}

/** Assigns the crashes of a part to the requests that carry it, the request that covers most of them first. */
function coverPart(key: string, crashes: readonly Crash[]): PartCover {
    let byRequest = new Map<string, Crash[]>();
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

/** Returns the accusation of a part, or undefined if its crashes come from too few requests. */
function accusePart({ key, crashes, assigned }: PartCover): Accusation | undefined {
    const heardAt = assigned.map(({ request, crashes }) =>
        crashes.map(({ requests }) => requests.get(request)?.heardAt ?? Infinity).sort((a, b) => a - b)
            .slice(0, maxCrashesPerRequest)
    );
    const completeAt = Math.max(
        nthSmallest(heardAt.map(([first]) => first ?? Infinity), accusingPartRequests),
        nthSmallest(heardAt.flat(), accusingPartCrashes),
    );
    return completeAt === Infinity ? undefined : { key, crashes, completeAt };
}

function accuseRequest(key: string, crashes: readonly Crash[]): Accusation | undefined {
    const heardAt = crashes.map(({ requests }) => requests.get(key)?.heardAt ?? Infinity);
    const completeAt = nthSmallest(heardAt, accusingRequestCrashes);
    return completeAt === Infinity ? undefined : { key, crashes, completeAt };
}

/**
 * Returns the suspects that crash endpoints. The most accused one is decided first, and the crashes that it explains do
 * not accuse the others. Evidence that is complete for less than `settleMs` may still be refuted by answers that have
 * begun; it explains crashes, but leads to no verdict yet. `known` are suspects whose verdicts stand.
 */
export function decideVerdicts(
    crashes: readonly Crash[],
    accuses: Accuses,
    now: number,
    settleMs: number,
    known: ReadonlySet<string>,
): BlockedPart[] {
    const groups = groupByKey(crashes, accuses);
    const explaining = new Set(known);
    const verdicts: BlockedPart[] = [];
    for (;;) {
        const accusation = mostAccused(groups, explaining);
        if (accusation === undefined) {
            return verdicts;
        }
        explaining.add(accusation.key);
        if (now - accusation.completeAt >= settleMs) {
            verdicts.push({
                part: accusation.key,
                endpoints: accusation.crashes.map(({ endpoint }) => endpoint),
            });
        }
    }
}

function mostAccused(
    { requests, parts }: { requests: Groups; parts: Groups; },
    explaining: ReadonlySet<string>,
): Accusation | undefined {
    const covers = [...parts].filter(([key]) => !explaining.has(key)).map(([key, crashes]) =>
        coverPart(key, crashes.filter(crash => !isExplainedForPart(crash, key, explaining)))
    );
    const sharedByMany = covers.filter(({ assigned }) => assigned.length >= accusingPartRequests);
    const accusedParts = sharedByMany.flatMap(cover => accusePart(cover) ?? []);
    const accusedRequests = [...requests].filter(([key]) => !explaining.has(key))
        .flatMap(([key, crashes]) => accuseRequest(key, crashes.filter(crash => !isExplained(crash, explaining))) ?? [])
        // Sound requests that are repeated through a series of crashes must not take the blame for a part.
        .filter(({ crashes }) => !sharedByMany.some(cover => crashes.every(crash => cover.crashes.includes(crash))));
    return [...accusedParts, ...accusedRequests].reduce<Accusation | undefined>(
        (most, entry) => most === undefined || entry.crashes.length > most.crashes.length ? entry : most,
        undefined,
    );
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
