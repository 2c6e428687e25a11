import type { CallSeen } from "../soak/promises.ts";
import type { Arrival } from "./calm-endpoint.ts";

/** How the exchange of a request ended: `closed` and `reset` by the ingress, `left` by the caller. */
export type Ending = "answered" | "closed" | "reset" | "left";

/** What a caller does beside sending and reading. */
export type Habit = "plain" | "half-close" | "slow-body" | "slow-reader" | "refused" | "refused-deaf";

/** What a caller saw of one request, and of the connection that carried it. */
export interface CalmCall extends CallSeen {
    habit: Habit;
    path: string;
    workspace: string;
    key: string;
    /** Body of the request, and the whole answer that belongs to it. */
    sentBody: string;
    wholeAnswer: string;
    route: string;
    connection: string;
    /** Requests that the connection had carried before. */
    earlier: number;
    /** Time for which the connection had been idle, in milliseconds. */
    idleMs: number;
    /** When the last byte of the request was sent; undefined if the connection ended before. */
    wholeAt: number | undefined;
    received: number;
    ending: Ending;
    budgetMs: number;
    /** Shortest and longest time limit of the route in the configurations that may have been in force, in milliseconds. */
    limits: { least: number; most: number; };
}

/** Planned work, on the clock of the test. */
export interface PlannedWork {
    kind: "stop" | "reload" | "change";
    /** Index of the ingress; undefined for a change, which concerns all. */
    ingress: number | undefined;
    from: number;
    /** Confirmation of a change; undefined while there is none. */
    confirmedAt?: number;
    what: string;
}

/** What the page gives as times of the rule, in milliseconds. */
export const bounds = {
    graceMs: 8_000,
    afterGraceMs: 1_000,
    lossSlackMs: 200,
    applyMs: 2_000,
    afterApplyMs: 1_000,
    /** A request that was sent later after SIGTERM is not excused by the end of the grace time. */
    lateSendMs: 3_000,
    contactMs: 3_000,
    /** Time by which an unstable core may stretch `applyMs`. */
    stretchMs: 5_000,
    rollbackSlackMs: 250,
};
/** Requests on kept connections that may be lost at any time. */
const allowedOnKept = 3;
/** Share of the time of a request from which it does not count beside a change. */
const usedShare = 0.7;
/** A change must not raise the rate of cuts above this factor. */
const changeFactor = 3;
/** Deviation between the clocks' readings of caller and ingress, in milliseconds. */
export const clockSlackMs = 20;

/** Why a request without a complete answer does not count. */
export type Excuse =
    | "time budget"
    | "route timeout"
    | "route timeout by one of the versions"
    | "end of the grace time"
    | "request not whole"
    | "crossed the close";

export interface Loss {
    call: CalmCall;
    passedOn: Arrival[];
    /** Planned work around the request. */
    near: PlannedWork[];
    excuse: Excuse | undefined;
}

/** Whether the page judges a request beside planned work. */
export function isBeside(work: PlannedWork, call: CalmCall): boolean {
    const { graceMs, afterGraceMs, applyMs, afterApplyMs } = bounds;
    if (work.ingress !== undefined && work.ingress !== call.ingress) {
        return false;
    }
    switch (work.kind) {
        case "stop":
            return call.endedAt >= work.from && call.endedAt <= work.from + graceMs + afterGraceMs;
        case "reload":
            return call.endedAt >= work.from && call.sentAt <= work.from + applyMs;
        case "change":
            return call.endedAt >= work.from
                && call.endedAt <= (work.confirmedAt ?? Infinity) + applyMs + afterApplyMs;
    }
}

/** Arrivals of a request that an endpoint took, from its beginning on. */
function tookIt({ outcome }: Arrival): boolean {
    return outcome !== "full" && outcome !== "other-instance";
}

function excuseOf(call: CalmCall, passedOn: readonly Arrival[], near: readonly PlannedWork[]): Excuse | undefined {
    const lasted = call.endedAt - call.sentAt + clockSlackMs;
    if (call.ending === "left" || lasted >= call.budgetMs) {
        return "time budget";
    }
    if (lasted >= call.limits.most) {
        return "route timeout";
    }
    if (lasted >= call.limits.least) {
        return "route timeout by one of the versions";
    }
    const atGraceEnd = near.some(({ kind, from }) =>
        kind === "stop" && call.sentAt <= from + bounds.lateSendMs
        && passedOn.some(({ endedAt }) => (endedAt ?? Infinity) >= from + bounds.graceMs * 5 / 6)
    );
    if (atGraceEnd) {
        return "end of the grace time";
    }
    if (call.wholeAt === undefined) {
        return passedOn.length === 0 ? "request not whole" : undefined;
    }
    // Without a stop, only an idle connection has a reason to be closed, and not for the end of the caller's side.
    const mayCross = call.earlier > 0 && call.habit !== "half-close" || near.some(({ kind }) => kind === "stop");
    const soon = call.endedAt <= call.wholeAt + bounds.lossSlackMs;
    return passedOn.length === 0 && call.status === undefined && soon && mayCross ? "crossed the close" : undefined;
}

/** Returns each request that got no complete answer, with the exception of the page that excuses it, if any. */
export function lossesOf(
    calls: readonly CalmCall[],
    arrivals: readonly Arrival[],
    works: readonly PlannedWork[],
): Loss[] {
    const byId = new Map<string, Arrival[]>();
    for (const arrival of arrivals.filter(tookIt)) {
        byId.set(arrival.id, [...byId.get(arrival.id) ?? [], arrival]);
    }
    return calls.filter(call => call.ending !== "answered").map(call => {
        const passedOn = byId.get(call.id) ?? [];
        const near = works.filter(work => isBeside(work, call));
        return { call, passedOn, near, excuse: excuseOf(call, passedOn, near) };
    });
}

/** Checks the rule as the page words it; returns one line for each sentence of it that is broken. */
export function brokenRule(
    losses: readonly Loss[],
    calls: readonly CalmCall[],
    works: readonly PlannedWork[],
): string[] {
    const broken: string[] = [];
    // The sentence on kept connections names no exception but a caller that left.
    const onKept = losses.filter(({ call, passedOn }) =>
        call.earlier > 0 && call.status === undefined && call.ending !== "left" && passedOn.length > 0
    );
    if (onKept.length > allowedOnKept) {
        broken.push(`passed on from kept connections that were closed without an answer: ${onKept.length}`);
    }
    const counted = losses.filter(({ call, passedOn, excuse }) =>
        excuse === undefined && (passedOn.length > 0
            || call.wholeAt !== undefined && call.endedAt > call.wholeAt + bounds.lossSlackMs)
    );
    for (const kind of ["stop", "reload"] as const) {
        const beside = counted.filter(({ near }) => near.some(work => work.kind === kind));
        if (beside.length > 0) {
            broken.push(`lost around a planned ${kind}: ${beside.length}`);
        }
    }
    broken.push(...cutsBesideChanges(counted, calls, works));
    return broken;
}

function cutsBesideChanges(
    counted: readonly Loss[],
    calls: readonly CalmCall[],
    works: readonly PlannedWork[],
): string[] {
    const changes = works.filter(({ kind }) => kind === "change");
    const lateShare = ({ endedAt, sentAt, budgetMs, limits }: CalmCall): number =>
        (endedAt - sentAt) / Math.min(budgetMs, limits.least);
    return [...new Set(calls.map(({ ingress }) => ingress))].flatMap(ingress => {
        const own = calls.filter(call => call.ingress === ingress);
        const isNear = (call: CalmCall): boolean => changes.some(work => isBeside(work, call));
        const beside = own.filter(isNear).length;
        const elsewhere = own.length - beside;
        const cuts = counted.filter(({ call }) => call.ingress === ingress && lateShare(call) < usedShare);
        const cutsBeside = cuts.filter(({ call }) => isNear(call)).length;
        const rate = cutsBeside / Math.max(1, beside);
        const otherRate = (cuts.length - cutsBeside) / Math.max(1, elsewhere);
        return cutsBeside > 0 && rate > changeFactor * otherRate
            ? [`cut beside changes at ingress ${ingress}: ${cutsBeside} of ${beside}, at other times ${
                cuts.length - cutsBeside
            } of ${elsewhere}`]
            : [];
    });
}

/** Describes a request without a complete answer, and why it counts or does not. */
export function describeLoss(loss: Loss): string {
    return `${loss.excuse === undefined ? "lost" : `excused (${loss.excuse})`}: ${describeRequest(loss)}`;
}

/** Describes a request so that it can be found in the logs. */
export function describeRequest({ call, passedOn, near }: Loss): string {
    const since = (at: number | undefined): string => at === undefined ? "never" : String(at - call.sentAt);
    const fields = {
        sent: new Date(call.sentAt).toISOString(),
        habit: call.habit,
        route: call.route,
        path: call.path,
        ingress: call.ingress,
        connection: call.connection,
        earlier: call.earlier,
        idleMs: call.idleMs,
        wholeMs: since(call.wholeAt),
        endedMs: since(call.endedAt),
        ending: call.ending,
        status: call.status,
        received: call.received,
        budgetMs: call.budgetMs,
        limits: `${call.limits.least}..${call.limits.most}`,
        endpoints:
            passedOn.map(({ endpoint, at, endedAt, outcome, pauses }) =>
                `${endpoint}[${since(at)}..${since(endedAt)} ${outcome}${pauses.map(pause => ` ${pause}`).join("")}]`
            ).join(",") || "none",
        // Of changes, the three newest suffice to find the line in the logs.
        near:
            [...near.filter(({ kind }) => kind !== "change"), ...near.filter(({ kind }) => kind === "change").slice(-3)]
                .map(({ what, from }) => `${what}[${since(from)}]`).join(",") || "none",
    };
    const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(" ");
    return `${call.kind} ${call.id} ${text}`;
}
