import type { Rule } from "@lentilramp/agreement";
import { AgreementModel, type AgreementModelSettings } from "./agreement-model.ts";
import type { Budget } from "./agreement-state.ts";
import { type ClaimRule, ClaimsModel } from "./claims-model.ts";
import { type Exploration, explore } from "./explorer.ts";
import { type VoteRule, VotesModel } from "./votes-model.ts";

const noBudget: Budget = { campaigns: 0, proposals: 0, crashes: 0, reads: 0, changes: 0, handOvers: 0, time: 0 };

// No lease is ever held: without time only the quorum-confirmed read is in question.
const timelessOptions = { leaseMs: 0, maxBatchEntries: 1 };

// A clock rate error of 20% lets a few coarse time steps tell a safe lease from an unsafe one.
const timedOptions = {
    heartbeatMs: 10,
    electionTimeoutMinMs: 40,
    electionTimeoutMaxMs: 40,
    leaseMs: 26,
    clockRateError: 0.2,
    handOverMs: 40,
};

const base: Omit<AgreementModelSettings, "name" | "budget"> = {
    voters: 3,
    joiners: 0,
    options: timelessOptions,
    separateSync: false,
    timeStep: undefined,
    rates: [[1, 1, 1, 1]],
    changes: [],
    prefix: [],
};

/** Steps by which `leader` wins an election with the vote of `voter`. */
function election(leader: string, voter: string): string[] {
    return [
        `campaign ${leader}`,
        `${leader}->${voter} vote`,
        `${voter}->${leader} vote-reply`,
    ];
}

function replicate(leader: string, follower: string): string[] {
    return [`heartbeat ${leader}`, `${leader}->${follower} append`, `${follower}->${leader} append-reply`];
}

/** Leader a has last heard from c three time steps ago, and b has just answered a newer heartbeat. */
const leaseStart = [
    ...Array<string>(5).fill("time passes"),
    "tick a",
    "a->b vote",
    "b->a vote-reply",
    "a->b append",
    "b->a append-reply",
    "a->c append",
    "c->a append-reply",
    "lose messages",
    ...Array<string>(3).fill("time passes"),
    "tick a",
    "a->b append",
];

const dividedLogs = [
    ...election("a", "c"),
    "lose messages",
    "campaign b",
    "lose messages",
    ...election("b", "c"),
    "lose messages",
];

const agreementModels: readonly AgreementModelSettings[] = [
    { ...base, name: "replication", budget: { ...noBudget, campaigns: 2, proposals: 1 } },
    {
        ...base,
        name: "crash",
        separateSync: true,
        budget: { ...noBudget, campaigns: 2, proposals: 1, crashes: 2 },
    },
    {
        ...base,
        name: "old-terms",
        // Two leaders in turn have each appended an entry that no other voter holds.
        prefix: dividedLogs,
        budget: { ...noBudget, campaigns: 2 },
    },
    {
        ...base,
        name: "membership",
        joiners: 1,
        prefix: [...election("a", "b"), "lose messages"],
        changes: [
            { kind: "remove", id: "c" },
            { kind: "add-learner", id: "x", address: "x" },
            { kind: "promote", id: "x" },
        ],
        budget: { ...noBudget, campaigns: 1, changes: 3 },
    },
    {
        ...base,
        name: "demotion",
        prefix: [...election("a", "b"), "lose messages"],
        changes: [
            { kind: "demote", id: "c" },
            { kind: "promote", id: "c" },
        ],
        budget: { ...noBudget, campaigns: 1, changes: 2 },
    },
    {
        ...base,
        name: "power-loss",
        separateSync: true,
        powerLoss: {},
        budget: { ...noBudget, campaigns: 2, proposals: 1 },
    },
    {
        ...base,
        name: "power-loss-join",
        separateSync: true,
        joiners: 1,
        powerLoss: {},
        changes: [{ kind: "add-learner", id: "x", address: "x" }, { kind: "promote", id: "x" }],
        budget: { ...noBudget, campaigns: 1, changes: 2 },
    },
    {
        ...base,
        name: "power-loss-release",
        voters: 4,
        separateSync: true,
        powerLoss: { stopping: "d" },
        changes: [{ kind: "demote", id: "d" }],
        budget: { ...noBudget, campaigns: 1, changes: 1, proposals: 1 },
    },
    {
        ...base,
        name: "power-loss-replacement",
        joiners: 1,
        powerLoss: { absent: "c", successor: "x" },
        changes: [
            { kind: "remove", id: "c" },
            { kind: "add-learner", id: "x", address: "x" },
            { kind: "promote", id: "x" },
        ],
        // The lost identity is removed before its successor is added.
        prefix: [
            ...election("a", "b"),
            ...replicate("a", "b"),
            "remove c by a",
            ...replicate("a", "b"),
            "lose messages",
        ],
        budget: { ...noBudget, campaigns: 1, changes: 2, proposals: 1 },
    },
    {
        ...base,
        name: "snapshots",
        options: { ...timelessOptions, snapshotIntervalEntries: 1, retainedEntries: 0 },
        prefix: [...election("a", "b"), "a->b append", "b->a append-reply", "lose messages"],
        budget: { ...noBudget, campaigns: 1, proposals: 1, crashes: 1 },
    },
    {
        ...base,
        name: "configuration",
        prefix: [...election("a", "b"), ...replicate("a", "b"), "lose messages"],
        budget: { ...noBudget, campaigns: 2, proposals: 1, reads: 1 },
    },
    {
        ...base,
        name: "lease",
        options: timedOptions,
        timeStep: 10,
        rates: [[0.8, 1.2, 1.2], [1.2, 0.8, 0.8], [1, 1, 1]],
        prefix: [...leaseStart, "b->a append-reply", "lose messages"],
        budget: { ...noBudget, crashes: 1, handOvers: 1, time: 6 },
    },
];

export interface Limits {
    /** For each model of the agreement code, and for the two specifications, whose states are cheap. */
    readonly maxStates: number;
    readonly maxClaimStates: number;
}

export const fullLimits: Limits = { maxStates: 120_000, maxClaimStates: 1_000_000 };
export const shortLimits: Limits = { maxStates: 4_000, maxClaimStates: 20_000 };

export interface ModelRun {
    readonly name: string;
    /** Equal for searches of the same states. */
    readonly key: string;
    readonly invariants: readonly string[];
    readonly run: (limits: Limits) => Exploration;
}

function agreementRun(settings: AgreementModelSettings, off: readonly Rule[]): ModelRun {
    const model = new AgreementModel(settings, off);
    return {
        name: model.name,
        key: JSON.stringify({ ...settings, name: "" }),
        invariants: model.invariants,
        run: limits => explore(model, limits.maxStates),
    };
}

function claimsRun(crashes: number, diskLosses: number, off: readonly ClaimRule[]): ModelRun {
    const model = new ClaimsModel({ crashes, diskLosses }, off);
    return {
        name: `claims with ${crashes} crashes and ${diskLosses} lost disks`,
        key: `claims ${crashes} ${diskLosses}`,
        invariants: model.invariants,
        run: limits => explore(model, limits.maxClaimStates),
    };
}

function votesRun(successors: number, diskLosses: number, crashes: number, off: readonly VoteRule[]): ModelRun {
    const model = new VotesModel({ successors, diskLosses, crashes }, off);
    return {
        name: `votes with ${successors} successors, ${diskLosses} lost disks and ${crashes} crashes for good`,
        key: `votes ${successors} ${diskLosses} ${crashes}`,
        invariants: model.invariants,
        run: limits => explore(model, limits.maxClaimStates),
    };
}

export interface Mutation {
    readonly name: Rule | ClaimRule | VoteRule;
    readonly run: ModelRun;
    /** The same search with the rule on. */
    readonly control: ModelRun;
}

/** Turns a rule off in the model that shows best what it is for; the changes keep the search short. */
function mutation(rule: Rule, modelName: string, changes: Partial<AgreementModelSettings> = {}): Mutation {
    const settings = agreementModels.find(model => model.name === modelName) as AgreementModelSettings;
    const changed = { ...settings, ...changes };
    return {
        name: rule,
        run: agreementRun(changed, [rule]),
        control: agreementRun({ ...changed, name: `${modelName}, search of ${rule}` }, []),
    };
}

function claimMutation(rule: ClaimRule, crashes: number, diskLosses: number): Mutation {
    const run = claimsRun(crashes, diskLosses, [rule]);
    return { name: rule, run, control: claimsRun(crashes, diskLosses, []) };
}

function voteMutation(rule: VoteRule, successors: number, diskLosses: number, crashes: number): Mutation {
    const run = votesRun(successors, diskLosses, crashes, [rule]);
    return { name: rule, run, control: votesRun(successors, diskLosses, crashes, []) };
}

function only(budget: Partial<Budget>): { budget: Budget; } {
    return { budget: { ...noBudget, ...budget } };
}

const slowLeader = [[0.8, 1.2, 1.2]];

/** Leaders of terms 1 and 2 have each appended a removal, on the way to two groups without a common voter. */
const crossedRemovals: Partial<AgreementModelSettings> = {
    voters: 4,
    joiners: 0,
    options: { leaseMs: 0 },
    changes: [{ kind: "remove", id: "d" }, { kind: "remove", id: "a" }],
    prefix: [
        ...election("a", "b"),
        "a->c vote",
        "c->a vote-reply",
        "remove d by a",
        "lose messages",
        ...election("b", "c"),
        "b->d vote",
        "d->b vote-reply",
        "remove a by b",
        "lose messages",
        "step down a",
        "campaign a",
        "lose messages",
    ],
};

const removals: Partial<AgreementModelSettings> = {
    joiners: 0,
    changes: [{ kind: "remove", id: "b" }, { kind: "remove", id: "c" }],
    prefix: [...election("a", "b"), ...replicate("a", "b"), ...replicate("a", "c"), "lose messages"],
};

const releaseStart: Partial<AgreementModelSettings> = {
    separateSync: false,
    prefix: [...election("a", "b"), "a->c vote", "c->a vote-reply", ...replicate("a", "b"), "lose messages"],
    ...only({ changes: 1 }),
};

export const mutations: readonly Mutation[] = [
    mutation("reply-after-sync", "crash", only({ campaigns: 2, crashes: 1 })),
    mutation("one-vote-a-term", "replication", only({ campaigns: 2 })),
    mutation("candidate-log-up-to-date", "replication", only({ campaigns: 2 })),
    mutation("commit-own-term-only", "old-terms", {
        prefix: [...dividedLogs, "step down a", "campaign a", "lose messages", ...election("a", "c"), "lose messages"],
        ...only({ campaigns: 1 }),
    }),
    mutation("leader-counts-synced-only", "crash", only({ campaigns: 1 })),
    mutation("append-checks-previous", "old-terms", only({ campaigns: 1 })),
    mutation("one-change-at-a-time", "membership", { ...removals, ...only({ changes: 2, campaigns: 1 }) }),
    mutation("change-after-own-commit", "membership", { ...crossedRemovals, ...only({ campaigns: 1 }) }),
    mutation("read-waits-for-quorum", "configuration", only({ campaigns: 1, reads: 1 })),
    mutation("read-after-own-commit", "configuration", only({ campaigns: 1, reads: 1 })),
    mutation("snapshot-above-commit", "snapshots", only({ proposals: 1 })),
    mutation("voters-keep-promise", "lease", { rates: slowLeader, ...only({ time: 3 }) }),
    mutation("promise-survives-restart", "lease", { rates: slowLeader, ...only({ time: 3, crashes: 1 }) }),
    mutation("lease-from-sending", "lease", {
        rates: slowLeader,
        prefix: [...leaseStart, "time passes", "time passes"],
        ...only({ time: 2 }),
    }),
    mutation("lease-within-promise", "lease", { rates: slowLeader, ...only({ time: 5 }) }),
    mutation("hand-over-ends-lease", "lease", { rates: slowLeader, ...only({ time: 1, handOvers: 1 }) }),
    mutation("demotion-sent-once-committed", "power-loss-release", releaseStart),
    claimMutation("claim-first-record-wins", 0, 0),
    claimMutation("claim-reply-after-sync", 1, 0),
    claimMutation("claim-needs-majority", 0, 0),
    claimMutation("seal-needs-majority", 0, 0),
    claimMutation("claim-names-identity", 0, 1),
    voteMutation("vote-released-before-end", 1, 1, 0),
    voteMutation("silent-voter-demoted", 0, 1, 1),
];

/**
 * What is checked without mutations: the models, and the narrower searches of the mutations, which go deeper
 * towards the fault that each rule prevents.
 */
export const models: readonly ModelRun[] = [
    ...agreementModels.map(settings => agreementRun(settings, [])),
    claimsRun(1, 2, []),
    votesRun(2, 2, 1, []),
    ...new Map(mutations.map(({ control }) => [control.key, control])).values(),
];
