import type { PromptPart } from "@lentilramp/dispatch";
import type { RandomSource } from "@lentilramp/runtime";

/** One kind of request, as the users' sheets describe it. */
export interface RequestKind {
    name: string;
    rank: number;
    /** Weight among the arrivals. */
    weight: number;
    targetMs: number;
    patienceMs: number;
    /** Credit of an answer on time; one tenth of it is left when it is late. */
    worth: number;
    /** Mean tokens of the parts that requests share, and how many such parts there are. */
    shared: readonly { tokens: number; count: number; }[];
    ownTokens: number;
    outputTokens: number;
}

/** The kinds of the Kokosinjac sheet. */
export const requestKinds: readonly RequestKind[] = [
    {
        name: "summary",
        rank: 1,
        weight: 0.386,
        targetMs: 400,
        patienceMs: 5_000,
        worth: 3.3,
        shared: [{ tokens: 2_520, count: 4 }, { tokens: 3_780, count: 429 }],
        ownTokens: 2_890,
        outputTokens: 50,
    },
    {
        name: "draft",
        rank: 0,
        weight: 0.437,
        targetMs: 300,
        patienceMs: 3_000,
        worth: 1.9,
        shared: [{ tokens: 341, count: 8 }, { tokens: 227, count: 484 }],
        ownTokens: 1_800,
        outputTokens: 25,
    },
    {
        name: "chat",
        rank: 2,
        weight: 0.177,
        targetMs: 300,
        patienceMs: 15_000,
        worth: 0.95,
        shared: [{ tokens: 103, count: 40 }, { tokens: 69, count: 293 }],
        ownTokens: 543,
        outputTokens: 280,
    },
];

export interface PromptArrival {
    at: number;
    kind: RequestKind;
    workspace: number;
    parts: readonly PromptPart[];
    promptTokens: number;
    outputTokens: number;
    /** The caller's own estimate of the output. */
    hintTokens: number;
}

export interface PromptLoadOptions {
    perSecond: number;
    endMs: number;
    /** Factor on the rate at an instant. */
    factor: (at: number) => number;
    /** Share of the requests of the first kind that name one and the same shared part, at an instant. */
    hotShare: (at: number) => number;
    /** Factor on the rate of the first workspace alone, at an instant. */
    workspaceFactor: (at: number) => number;
}

/** Mean number of requests that come together. */
const clump = 3;
/** Time over which such a group is spread, in milliseconds. */
const clumpSpreadMs = 20;
const workspaceShares = [0.4, 0.25, 0.2, 0.1, 0.05] as const;
/** Spread of the estimate of the output, as the deviation of its logarithm. */
const hintDeviation = 0.7;

/** Arrivals over time; they depend on the seed and the options only. */
export function promptArrivals(random: RandomSource, options: PromptLoadOptions): PromptArrival[] {
    const arrivals: PromptArrival[] = [];
    let id = 0;
    const meanGapMs = 1_000 * clump / options.perSecond;
    const most = 8;
    // Thinning: candidates come at the highest rate and are kept with the factor of their instant.
    for (let at = 0; at < options.endMs; at += -meanGapMs / most * Math.log(1 - random.next())) {
        const size = 1 + Math.floor(-(clump - 1) * Math.log(1 - random.next()) + 0.5);
        for (let i = 0; i < size; i++) {
            const workspace = drawIndex(random, workspaceShares);
            const factor = options.factor(at) * (workspace === 0 ? options.workspaceFactor(at) : 1);
            const when = at + random.next() * clumpSpreadMs;
            if (random.next() * most < factor) {
                arrivals.push(arrival(random, when, workspace, options.hotShare(at), ++id));
            }
        }
    }
    return arrivals.sort((a, b) => a.at - b.at);
}

function arrival(random: RandomSource, at: number, workspace: number, hotShare: number, id: number): PromptArrival {
    const kind = requestKinds[drawIndex(random, requestKinds.map(({ weight }) => weight))] as RequestKind;
    const hot = kind === requestKinds[0] && random.next() < hotShare;
    const parts = kind.shared.map(({ tokens, count }, level) => {
        const index = hot ? 0 : random.nextInt(count);
        return { id: `${kind.name}.${level}.${index}`, tokens };
    });
    const own = Math.round(Math.min(kind.ownTokens * 13, kind.ownTokens * logNormal(random, 1)));
    const outputTokens = Math.max(1, Math.round(kind.outputTokens * logNormal(random, 0.9)));
    return {
        at,
        kind,
        workspace,
        parts: [...parts, { id: `own.${id}`, tokens: own }],
        promptTokens: parts.reduce((sum, part) => sum + part.tokens, own),
        outputTokens,
        hintTokens: Math.max(1, Math.round(outputTokens * Math.exp(hintDeviation * gaussian(random)))),
    };
}

function drawIndex(random: RandomSource, weights: readonly number[]): number {
    let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    const index = weights.findIndex(weight => (left -= weight) < 0);
    return index < 0 ? weights.length - 1 : index;
}

function gaussian(random: RandomSource): number {
    return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

/** With a mean of 1. */
function logNormal(random: RandomSource, deviation: number): number {
    return Math.exp(deviation * gaussian(random) - deviation ** 2 / 2);
}
