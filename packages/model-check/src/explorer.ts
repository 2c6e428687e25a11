import { type Hash, HashSet } from "./hash.ts";
import { InvariantViolation } from "./history.ts";

export interface Step<S> {
    readonly label: string;
    /** Computes the next state; throws InvariantViolation when the step breaks an invariant. */
    readonly take: () => S;
}

/** A transition system. States must not be changed once returned. */
export abstract class Model<S> {
    abstract readonly name: string;
    abstract readonly invariants: readonly string[];
    abstract initial(): S[];
    abstract steps(state: S): Step<S>[];
    abstract hash(state: S): Hash;
    /** Throws InvariantViolation when the state breaks an invariant. */
    abstract check(state: S): void;
}

export interface Exploration {
    readonly states: number;
    readonly depth: number;
    /** True when all reachable states were visited within the limit. */
    readonly complete: boolean;
    readonly milliseconds: number;
    readonly violation: { readonly invariant: string; readonly message: string; readonly trace: string[]; } | undefined;
}

interface Visited<S> {
    readonly state: S;
    readonly index: number;
}

/** Visits the states breadth first, so that a trace found is a shortest one. */
export function explore<S>(model: Model<S>, maxStates: number): Exploration {
    const start = performance.now();
    const seen = new HashSet();
    const parents: number[] = [];
    const labels: string[] = [];
    let depth = 0;
    const traceTo = (index: number): string[] => {
        const trace: string[] = [];
        for (let i = index; i >= 0; i = parents[i] as number) {
            trace.unshift(labels[i] as string);
        }
        return trace;
    };
    const result = (complete: boolean, violation: Exploration["violation"]): Exploration => ({
        states: seen.size,
        depth,
        complete,
        milliseconds: performance.now() - start,
        violation,
    });
    const visit = (label: string, parent: number, state: S): Visited<S> | undefined => {
        if (!seen.add(model.hash(state))) {
            return undefined;
        }
        parents.push(parent);
        labels.push(label);
        model.check(state);
        return { state, index: parents.length - 1 };
    };
    let frontier = model.initial().flatMap(state => visit("start", -1, state) ?? []);
    while (frontier.length > 0) {
        const next: Visited<S>[] = [];
        for (const { state, index } of frontier) {
            for (const { label, take } of model.steps(state)) {
                try {
                    const visited = visit(label, index, take());
                    if (visited !== undefined) {
                        next.push(visited);
                    }
                }
                catch (err) {
                    const invariant = err instanceof InvariantViolation ? err.invariant : "no step throws an error";
                    return result(false, { invariant, message: String(err), trace: [...traceTo(index), label] });
                }
                if (seen.size >= maxStates) {
                    return result(false, undefined);
                }
            }
        }
        frontier = next;
        depth += frontier.length > 0 ? 1 : 0;
    }
    return result(true, undefined);
}
