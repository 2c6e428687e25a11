import type { Run } from "../soak/soak-endpoint.ts";
import type { Version } from "./calm-catalog.ts";
import { bounds, type CalmCall } from "./losses.ts";

/** One life of an ingress process, on the clock of the test. */
export interface Life {
    ingress: number;
    startedAt: number;
    /** SIGTERM; undefined while there is none. */
    stoppedAt: number | undefined;
}

/** What the judge of the configuration looks at. */
export interface ConfigurationSeen {
    calls: readonly CalmCall[];
    runs: readonly Run[];
    versions: readonly Version[];
    lives: readonly Life[];
    /** Instants at which a steward was stopped, had ended or was started. */
    coreEvents: readonly number[];
}

/** Added routes get judged from this many requests on, by the share that is served of what is served elsewhere. */
const judgedRequests = 20;
const servedShare = 1 / 4;
/** Requests without an answer half a second after their time limit from which they are judged, and their share. */
const overdueRequests = 8;
const overdueShare = 1 / 4;
const overdueMs = 500;

/** A request that shows which configuration was in force, with the versions that would have handled it alike. */
interface Handled {
    call: CalmCall;
    /** When its handling was seen. */
    at: number;
    /** Positions in the list of versions, in ascending order. */
    alike: number[];
    how: string;
}

/** Service of an endpoint of the run, by its id. */
export function serviceOf(endpoint: string): string {
    return endpoint.split("-")[1] ?? "";
}

/** Checks the rule on configurations as the page words it; returns one line for each request or sentence that breaks it. */
export function brokenConfiguration(seen: ConfigurationSeen): string[] {
    const handled = seen.calls.flatMap(call => describeHandling(call, seen));
    return [
        ...handled.flatMap(one => handledByOlder(one, seen)),
        ...regressions(handled, seen),
        ...unservedAdditions(seen),
        ...unansweredInTime(seen),
    ];
}

function describeHandling(call: CalmCall, { runs, versions }: ConfigurationSeen): Handled[] {
    const own = runs.filter(({ id }) => id === call.id);
    const allows = (version: Version, service: string | undefined): boolean =>
        version.workspaces.has(call.key)
        && (service === undefined
            ? version.services.has(call.route)
            : version.services.get(call.route)?.has(service) === true);
    const alike = (test: (version: Version) => boolean): number[] =>
        versions.flatMap((version, i) => version.sentAt <= call.endedAt && test(version) ? [i] : []);
    if (own.length > 0) {
        return own.map(({ at, endpoint }) => ({
            call,
            at,
            alike: alike(version => allows(version, serviceOf(endpoint))),
            how: `run by ${serviceOf(endpoint)}`,
        }));
    }
    switch (call.status) {
        case 404:
            return [{ call, at: call.endedAt, alike: alike(({ services }) => !services.has(call.route)), how: "404" }];
        case 401:
        case 403:
            return [{
                call,
                at: call.endedAt,
                alike: alike(({ workspaces }) => !workspaces.has(call.key)),
                how: String(call.status),
            }];
        default:
            return [];
    }
}

/** Time within which a confirmed version must be in force for requests at `at`, in milliseconds. */
function boundAt(confirmedAt: number, at: number, coreEvents: readonly number[]): number {
    const stretched = coreEvents.some(event => event >= confirmedAt - bounds.contactMs && event <= at);
    return bounds.applyMs + (stretched ? bounds.stretchMs : 0);
}

/** Position of the oldest version that may still decide on a request that was sent at `sentAt`. */
function settledAt(sentAt: number, { versions, coreEvents }: ConfigurationSeen): number {
    return versions.findLastIndex(({ confirmedAt }) =>
        confirmedAt !== undefined && confirmedAt + boundAt(confirmedAt, sentAt, coreEvents) < sentAt
    );
}

/** The life of the ingress that took a request; undefined if there is none. */
function lifeOf(call: CalmCall, { lives }: ConfigurationSeen): Life | undefined {
    return lives.findLast(({ ingress, startedAt }) => ingress === call.ingress && startedAt <= call.sentAt);
}

function inTouch(call: CalmCall, seen: ConfigurationSeen): boolean {
    const life = lifeOf(call, seen);
    return life !== undefined && life.startedAt + bounds.contactMs <= call.sentAt
        && (life.stoppedAt ?? Infinity) > call.endedAt;
}

function handledByOlder({ call, alike, how }: Handled, seen: ConfigurationSeen): string[] {
    const settled = settledAt(call.sentAt, seen);
    const newest = alike.at(-1) ?? -1;
    // What no version of the run would do breaks a rule at any ingress.
    return newest < settled && (alike.length === 0 || inTouch(call, seen))
        ? [describeOld(call, how, seen.versions[newest], seen.versions[settled])]
        : [];
}

/** Requests that one process handles by an older version than one of which it has shown the effect before. */
function regressions(handled: readonly Handled[], seen: ConfigurationSeen): string[] {
    const byLife = new Map<Life, Handled[]>();
    for (const one of handled) {
        const life = lifeOf(one.call, seen);
        if (life !== undefined) {
            byLife.set(life, [...byLife.get(life) ?? [], one]);
        }
    }
    return [...byLife.values()].flatMap(ofLife =>
        ofLife.flatMap(({ call, alike, how }) => {
            const shown = Math.max(
                -1,
                ...ofLife.filter(({ at }) => at + bounds.rollbackSlackMs < call.sentAt)
                    .flatMap(earlier => earlier.how.startsWith("run") ? earlier.alike.slice(0, 1) : []),
            );
            const newest = alike.at(-1) ?? -1;
            return newest < shown
                ? [`regressed: ${describeOld(call, how, seen.versions[newest], seen.versions[shown])}`]
                : [];
        })
    );
}

function describeOld(
    { id, route, key, ingress, sentAt }: CalmCall,
    how: string,
    newest: Version | undefined,
    due: Version | undefined,
): string {
    const confirmedMs = due?.confirmedAt === undefined ? "never" : sentAt - due.confirmedAt;
    return `handled by an old configuration: ${id} route=${route} key=${key} ingress=${ingress} how=${how} sent=${
        new Date(sentAt).toISOString()
    } newest=${newest?.number ?? "none"} due=${due?.number}:${due?.what} confirmedMs=${confirmedMs}`;
}

function unservedAdditions(seen: ConfigurationSeen): string[] {
    const { versions, calls } = seen;
    const first = versions[0]?.services ?? new Map<string, unknown>();
    const judged = calls.filter(call => {
        const settled = settledAt(call.sentAt, seen);
        return call.habit === "plain" && settled >= 0 && inTouch(call, seen)
            && versions.slice(settled).every(version =>
                version.sentAt > call.endedAt
                || version.services.has(call.route) && version.workspaces.get(call.key) !== undefined
            );
    });
    const rateOf = (some: readonly CalmCall[]): number =>
        some.filter(({ status, complete }) => status === 200 && complete).length / Math.max(1, some.length);
    const added = judged.filter(({ route }) => !first.has(route));
    const rate = rateOf(added);
    const otherRate = rateOf(judged.filter(({ route }) => first.has(route)));
    return added.length >= judgedRequests && rate < otherRate * servedShare
        ? [`added routes are not served: ${rate.toFixed(2)} of ${added.length}, ${otherRate.toFixed(2)} on others`]
        : [];
}

function unansweredInTime(seen: ConfigurationSeen): string[] {
    const overdue = seen.calls.filter(call =>
        call.budgetMs > call.limits.most + overdueMs && call.endedAt - call.sentAt > call.limits.most
        && inTouch(call, seen)
    );
    const later = overdue.filter(({ sentAt, endedAt, limits }) => endedAt - sentAt > limits.most + overdueMs);
    return later.length >= overdueRequests && later.length > overdue.length * overdueShare
        ? [`no answer ${overdueMs} ms after the time limit: ${later.length} of ${overdue.length}`]
        : [];
}
