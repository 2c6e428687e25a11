/** A limit that an endpoint named in all of its answers during a time, on the clock of the test. */
export interface LimitNamed {
    endpoint: string;
    perSecond: number;
    from: number;
    until: number;
}

/** A request that reached an endpoint, whether or not the endpoint ran it. */
export interface Arrival {
    at: number;
    endpoint: string;
}

/** Length of the windows in which the rule counts requests, in milliseconds. */
export const limitWindowMs = 4_000;
/** Time from the first answer with a limit until the rule holds, in milliseconds. */
export const limitContactMs = 3_000;
/** Time from an answer with a limit until requests of the ingress that passed it on count, in milliseconds. */
const toldMs = 500;

/** Largest number of requests that a limit allows in one window. */
export function allowedInWindow(perSecond: number): number {
    return 1.5 * perSecond * limitWindowMs / 1_000 + 5;
}

/** Returns the arrivals at the endpoint of a limit while it holds and the ingresses can know it. */
export function limitedArrivals({ endpoint, from, until }: LimitNamed, arrivals: readonly Arrival[]): number[] {
    return arrivals.filter(({ at, endpoint: id }) => id === endpoint && at >= from + toldMs && at <= until)
        .map(({ at }) => at)
        .sort((a, b) => a - b);
}

/** Checks that no endpoint got more requests than its limit allows; returns one line for each limit that was exceeded. */
export function brokenLimits(limits: readonly LimitNamed[], arrivals: readonly Arrival[]): string[] {
    return limits.flatMap(limit => {
        const times = limitedArrivals(limit, arrivals);
        const inWindow = (end: number): number => times.filter(at => at > end - limitWindowMs && at <= end).length;
        const most = Math.max(0, ...times.filter(at => at >= limit.from + limitContactMs).map(inWindow));
        const allowed = allowedInWindow(limit.perSecond);
        return most > allowed
            ? [`limit exceeded: ${limit.endpoint} named ${limit.perSecond} a second and got ${most}, allowed ${allowed}`]
            : [];
    });
}
