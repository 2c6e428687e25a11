import type { SeededRandom } from "@lentilramp/runtime";
import { hasBody } from "../soak/promises.ts";
import { type RequestPlan, writings } from "./calm-caller.ts";
import {
    type CalmCatalog,
    type CalmKind,
    type CalmRoute,
    host,
    kinds as allKinds,
    maxBodyBytes,
} from "./calm-catalog.ts";
import { type AnswerForm, bodyOf, formPath, framings, wholeAnswer } from "./calm-endpoint.ts";
import type { Habit } from "./losses.ts";
import type { Profile } from "./profiles.ts";

/** A request, and what belongs to it. */
export interface PlannedRequest extends RequestPlan {
    route: string;
    kind: CalmKind;
    workspace: string;
    key: string;
    wholeAnswer: string;
}

/** Habits of callers that are not plain, with the share of the requests that have them. */
export const habitShares: Record<Exclude<Habit, "plain">, number> = {
    "half-close": 0.04,
    "slow-body": 0.06,
    "slow-reader": 0.05,
    "refused": 0.02,
    "refused-deaf": 0.02,
};
const largeAnswerBytes = 1_500_000;
const maxAnswerBytes = 60_000;
const minEvents = 3;
/** Share of the streams with a long tail that belong to it, and the range of the events of the others. */
const longShare = 0.06;
const shortEvents = 5;
/** Share of the streams that are asked for with a body, as chats are. */
const streamBodyShare = 0.7;
/** Bytes by which events are longer than they have to be where their caller reads slowly. */
const slowEventPadding = 12_000;

function pickHabit(random: SeededRandom, left: readonly Habit[]): Habit {
    let at = random.next();
    for (const [habit, share] of Object.entries(habitShares) as [Habit, number][]) {
        at -= share;
        if (at < 0) {
            return left.includes(habit) ? "plain" : habit;
        }
    }
    return "plain";
}

/** Plans the next request of a caller; `leftOut` names habits that are not played. */
export function planRequest(
    id: string,
    catalog: CalmCatalog,
    random: SeededRandom,
    leftOut: readonly Habit[],
    profile: Profile,
): PlannedRequest {
    const kinds: readonly CalmKind[] = profile.kinds ?? allKinds;
    const routes = catalog.routes.filter(({ kind }) => kinds.includes(kind));
    const habit = pickHabit(random, leftOut);
    const isRefused = habit === "refused" || habit === "refused-deaf";
    const withBody = (isRefused || habit === "slow-body") && kinds.some(hasBody);
    const fitting = withBody ? routes.filter(({ kind }) => hasBody(kind)) : routes;
    const route = fitting[random.nextInt(fitting.length)];
    if (route === undefined) {
        throw new Error("no route");
    }
    const streaming = isStreaming(route.kind);
    const size = streaming
        ? planEvents(random, profile)
        : habit === "slow-reader"
        ? largeAnswerBytes
        : 2 + random.nextInt(random.next() < 0.8 ? 2_000 : maxAnswerBytes);
    const padding = streaming && habit === "slow-reader" ? slowEventPadding : 0;
    const bytes = withBody
        ? maxBodyBytes / 4 + random.nextInt(maxBodyBytes * 3 / 4)
        : random.nextInt(random.next() < 0.9 ? 500 : maxBodyBytes);
    const { workspace, key } = catalog.pickKey(random);
    const post = hasBody(route.kind) || streaming && random.next() < streamBodyShare;
    return describe(id, route, random, {
        habit,
        workspace,
        key: isRefused ? "key-of-nobody" : key,
        body: post ? bodyOf(id, bytes) : undefined,
        budgetMs: profile.budgets.leastMs + random.nextInt(profile.budgets.mostMs - profile.budgets.leastMs),
        form: {
            streaming,
            size,
            framing: framings[random.nextInt(framings.length)] ?? "length",
            gapMs: profile.eventGapMs,
            padding,
        },
    });
}

/** Plans a short request on a route that was just added or dropped, or that never existed. */
export function planProbe(id: string, catalog: CalmCatalog, random: SeededRandom, profile: Profile): PlannedRequest {
    const routes = catalog.changedRoutes;
    const route = routes[random.nextInt(routes.length)];
    if (route === undefined) {
        throw new Error("no route");
    }
    const { workspace, key } = catalog.pickKey(random);
    return describe(id, route, random, {
        habit: "plain",
        workspace,
        key,
        body: hasBody(route.kind) ? "probe" : undefined,
        budgetMs: profile.budgets.leastMs,
        form: { streaming: isStreaming(route.kind), size: minEvents, framing: "chunked", gapMs: 1, padding: 0 },
    });
}

function isStreaming(kind: CalmKind): boolean {
    return kind === "stream" || kind === "once";
}

/** Number of events: evenly spread, or mostly few and now and then many, as chats have it. */
function planEvents(random: SeededRandom, { maxEvents, longTail }: Profile): number {
    return longTail && random.next() >= longShare
        ? minEvents + random.nextInt(shortEvents)
        : minEvents + random.nextInt(maxEvents - minEvents);
}

function describe(
    id: string,
    { name, kind }: CalmRoute,
    random: SeededRandom,
    { habit, workspace, key, body, budgetMs, form }: {
        habit: Habit;
        workspace: string;
        key: string;
        body: string | undefined;
        budgetMs: number;
        form: AnswerForm;
    },
): PlannedRequest {
    return {
        id,
        route: name,
        kind,
        workspace,
        key,
        path: `/${name}/${id}/${formPath(form)}`,
        method: body === undefined ? "GET" : "POST",
        headers: { host, "x-attempt-id": id, "x-deadline-ms": String(budgetMs), "api-key": key },
        body: body ?? "",
        chunked: random.next() < 0.4,
        writing: writings[random.nextInt(writings.length)] ?? "together",
        habit,
        budgetMs,
        wholeAnswer: wholeAnswer(id, form),
    };
}
