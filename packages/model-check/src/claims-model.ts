import { Model, type Step } from "./explorer.ts";
import { type Hash, hashText } from "./hash.ts";
import { InvariantViolation } from "./history.ts";

/** Rules of design questions 1 and 2 that the checker can turn off. */
export type ClaimRule =
    /** A register keeps the first record written. */
    | "claim-first-record-wins"
    /** A replica answers only after the record is synced. */
    | "claim-reply-after-sync"
    /** A claimant dispatches when two of three replicas hold its record. */
    | "claim-needs-majority"
    /** "not-run" is said when two of three registers are sealed, or no claimant can reach two. */
    | "seal-needs-majority"
    /** A replica that lost its disk has a new identity and refuses older keys. */
    | "claim-names-identity";

type Value = "" | "p" | "q" | "sealed";

/** A message is a write to a replica or its answer; each can be delivered any number of times, or never. */
interface ClaimState {
    /** The record of each register in memory and on disk, and the identity of its replica. */
    readonly memory: readonly Value[];
    readonly disk: readonly Value[];
    readonly identity: readonly number[];
    /** "writer replica identity" for requests; "writer replica record" for answers. */
    readonly requests: readonly string[];
    readonly answers: readonly string[];
    readonly dispatched: readonly string[];
    readonly started: readonly string[];
    readonly saidNotRun: boolean;
    readonly crashes: number;
    readonly diskLosses: number;
}

const replicas = [0, 1, 2];
const writers = ["p", "q", "sealed"] as const;

/** Write-once registers for one key with two claimants and a sealer. A small specification, not production code. */
export class ClaimsModel extends Model<ClaimState> {
    readonly name = "claims";
    readonly invariants = ["a key is dispatched at most once", "what was reported as not run never runs"];

    constructor(
        private readonly limits: { crashes: number; diskLosses: number; },
        private readonly off: readonly ClaimRule[],
    ) {
        super();
    }

    override initial(): ClaimState[] {
        return [{
            memory: ["", "", ""],
            disk: ["", "", ""],
            identity: [0, 0, 0],
            requests: [],
            answers: [],
            dispatched: [],
            started: [],
            saidNotRun: false,
            ...this.limits,
        }];
    }

    override hash(state: ClaimState): Hash {
        return hashText(JSON.stringify(state));
    }

    override check(state: ClaimState): void {
        if (state.dispatched.length > 1) {
            throw new InvariantViolation("a key is dispatched at most once", state.dispatched.join(" and "));
        }
        if (state.saidNotRun && state.dispatched.length > 0) {
            throw new InvariantViolation("what was reported as not run never runs", state.dispatched.join());
        }
    }

    override steps(state: ClaimState): Step<ClaimState>[] {
        const steps: Step<ClaimState>[] = [];
        const add = (label: string, next: ClaimState) => void steps.push({ label, take: () => next });
        for (const writer of writers.filter(name => !state.started.includes(name))) {
            const requests = replicas.map(r => `${writer} ${r} 0`);
            add(`start ${writer}`, {
                ...state,
                started: insert(state.started, writer),
                requests: requests.reduce(insert, state.requests),
            });
        }
        for (const request of state.requests) {
            const next = this.write(state, request);
            if (next !== undefined) {
                add(`deliver ${request}`, next);
            }
        }
        for (const r of replicas) {
            if (state.memory[r] !== state.disk[r]) {
                add(`sync ${r}`, { ...state, disk: replaceAt(state.disk, r, state.memory[r] as Value) });
            }
            if (state.crashes > 0) {
                const memory = replaceAt(state.memory, r, state.disk[r] as Value);
                add(`crash ${r}`, { ...state, memory, crashes: state.crashes - 1 });
            }
            if (state.diskLosses > 0) {
                add(`lose disk ${r}`, {
                    ...state,
                    memory: replaceAt(state.memory, r, ""),
                    disk: replaceAt(state.disk, r, ""),
                    identity: replaceAt(state.identity, r, (state.identity[r] as number) + 1),
                    diskLosses: state.diskLosses - 1,
                });
            }
        }
        this.addDecisions(state, add);
        return steps;
    }

    private write(state: ClaimState, request: string): ClaimState | undefined {
        const [writer, replica, identity] = request.split(" ") as [Value, string, string];
        const r = Number(replica);
        if (Number(identity) !== state.identity[r] && this.enforces("claim-names-identity")) {
            return undefined;
        }
        const held = state.memory[r] as Value;
        if (held === "" || (held !== writer && !this.enforces("claim-first-record-wins"))) {
            const written = { ...state, memory: replaceAt(state.memory, r, writer) };
            return this.enforces("claim-reply-after-sync") ? written : answer(written, writer, r, writer);
        }
        return state.disk[r] === held ? answer(state, writer, r, held) : undefined;
    }

    private addDecisions(state: ClaimState, add: (label: string, next: ClaimState) => void): void {
        for (const claimant of ["p", "q"] as const) {
            const held = count(state, claimant, claimant);
            const needed = this.enforces("claim-needs-majority") ? 2 : 1;
            if (held >= needed && !state.dispatched.includes(claimant)) {
                add(`dispatch ${claimant}`, { ...state, dispatched: insert(state.dispatched, claimant) });
            }
        }
        const sealed = count(state, "sealed", "sealed");
        const split = (["p", "q", "sealed"] as const).every(value => count(state, "sealed", value) === 1);
        if (!state.saidNotRun && (sealed >= (this.enforces("seal-needs-majority") ? 2 : 1) || split)) {
            add("say not-run", { ...state, saidNotRun: true });
        }
    }

    private enforces(rule: ClaimRule): boolean {
        return !this.off.includes(rule);
    }
}

function answer(state: ClaimState, writer: string, replica: number, record: Value): ClaimState {
    return { ...state, answers: insert(state.answers, `${writer} ${replica} ${record}`) };
}

/** The number of replicas that told `writer` that they hold `record`. */
function count(state: ClaimState, writer: Value, record: Value): number {
    return replicas.filter(r => state.answers.includes(`${writer} ${r} ${record}`)).length;
}

function insert(list: readonly string[], item: string): string[] {
    return list.includes(item) ? [...list] : [...list, item].sort();
}

function replaceAt<T>(list: readonly T[], index: number, value: T): T[] {
    return list.map((item, i) => i === index ? value : item);
}
