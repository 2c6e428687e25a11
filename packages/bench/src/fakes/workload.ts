import type { Priority } from "@lentilramp/routing";
import type { RandomSource } from "@lentilramp/runtime";
import murmurhash from "murmurhash";

export interface WorkloadOptions {
    /** Share of the sessions of each workspace; two are large. */
    workspaceShares: readonly number[];
    /** Assistants of a workspace, each with its own system prompt. */
    assistants: number;
    systemPromptTokens: readonly [number, number];
    /** Shares of the sessions; the rest are summaries. */
    chatShare: number;
    draftShare: number;
    /** Probability that a chat goes on after an answer; 0.75 gives 4 turns in the mean. */
    nextTurn: number;
    thinkMs: number;
    blockTokens: number;
}

/** Assumed from the deployment Fjordlys: chats, quote drafts and summaries of damage claims. */
export const workloadDefaults: WorkloadOptions = {
    workspaceShares: [0.35, 0.35, 0.1, 0.1, 0.1],
    assistants: 6,
    systemPromptTokens: [800, 2400],
    chatShare: 0.6,
    draftShare: 0.25,
    nextTurn: 0.75,
    thinkMs: 8_000,
    blockTokens: 64,
};

export interface Turn {
    promptTokens: number;
    prefix: readonly number[];
    outputTokens: number;
    /** Time from the previous answer's end to this turn. */
    thinkMs: number;
}

export interface Session {
    at: number;
    workspace: number;
    kind: "chat" | "draft" | "summary";
    priority: Priority;
    turns: readonly Turn[];
}

/** Generates sessions. Prompts are given as chained block hashes; their text does not matter to the decisions. */
export class Workload {
    private nextContent = 1;
    private readonly systemPrompts: { tokens: number; blocks: number[]; }[][];

    constructor(private readonly random: RandomSource, private readonly options: WorkloadOptions = workloadDefaults) {
        this.systemPrompts = options.workspaceShares.map(() =>
            Array.from({ length: options.assistants }, () => {
                const tokens = this.between(...options.systemPromptTokens);
                return { tokens, blocks: this.extend([], 0, tokens) };
            })
        );
    }

    /** Returns sessions that start at random instants in [from, until), `perSecond` of them in the mean. */
    sessions(perSecond: number, from: number, until: number): Session[] {
        const sessions: Session[] = [];
        for (let at = from + this.exponential(1000 / perSecond); at < until; at += this.exponential(1000 / perSecond)) {
            sessions.push(this.session(at, this.pickWorkspace()));
        }
        return sessions;
    }

    session(at: number, workspace: number): Session {
        const draw = this.random.next();
        const { chatShare, draftShare } = this.options;
        const prompts = this.systemPrompts[workspace] ?? [];
        const system = prompts[this.random.nextInt(prompts.length)] ?? { tokens: 0, blocks: [] };
        if (draw < chatShare) {
            return { at, workspace, kind: "chat", priority: "high", turns: this.chat(system) };
        }
        const draft = draw < chatShare + draftShare;
        const added = draft ? this.between(400, 1200) : this.between(2500, 7000);
        const turn = {
            promptTokens: system.tokens + added,
            prefix: this.extend(system.blocks, system.tokens, added),
            outputTokens: draft ? this.between(200, 500) : this.between(150, 400),
            thinkMs: 0,
        };
        return { at, workspace, kind: draft ? "draft" : "summary", priority: draft ? "normal" : "low", turns: [turn] };
    }

    private chat(system: { tokens: number; blocks: number[]; }): Turn[] {
        const turns: Turn[] = [];
        let { tokens, blocks } = system;
        do {
            const question = this.between(30, 250);
            blocks = this.extend(blocks, tokens, question);
            tokens += question;
            const outputTokens = this.between(60, 300);
            const thinkMs = turns.length === 0 ? 0 : 1_000 + this.exponential(this.options.thinkMs - 1_000);
            turns.push({ promptTokens: tokens, prefix: blocks, outputTokens, thinkMs });
            blocks = this.extend(blocks, tokens, outputTokens);
            tokens += outputTokens;
        }
        while (this.random.next() < this.options.nextTurn);
        return turns;
    }

    /** Appends the blocks that new content completes to the chain of a prompt of `tokens` tokens. */
    private extend(blocks: readonly number[], tokens: number, added: number): number[] {
        const extended = [...blocks];
        const complete = Math.floor((tokens + added) / this.options.blockTokens);
        while (extended.length < complete) {
            extended.push(murmurhash.v3(`${this.nextContent++}`, extended.at(-1) ?? 0));
        }
        return extended;
    }

    private pickWorkspace(): number {
        let draw = this.random.next();
        const index = this.options.workspaceShares.findIndex(share => (draw -= share) < 0);
        return Math.max(0, index);
    }

    private between(low: number, high: number): number {
        return low + this.random.nextInt(high - low);
    }

    private exponential(mean: number): number {
        return -mean * Math.log(1 - this.random.next());
    }
}
