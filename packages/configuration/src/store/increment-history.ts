import type { Increment } from "../change/change.ts";

/** Increments kept; at 14,000 changes a day this covers about 100 min. */
export const maxHistory = 1_000;

/** The latest increments without a gap between them. */
export class IncrementHistory {
    private increments: Increment[] = [];

    constructor(private readonly limit = maxHistory) {}

    /** Adds an increment; one that does not follow the last makes the history start anew. */
    add(increment: Increment): void {
        if (this.increments.length > 0 && this.increments.at(-1)?.to !== increment.from) {
            this.clear();
        }
        this.increments.push(increment);
        if (this.increments.length > 2 * this.limit) {
            // Trimming in blocks avoids moving the whole array for each change.
            this.increments = this.increments.slice(-this.limit);
        }
    }

    clear(): void {
        this.increments = [];
    }

    /** Returns the increments that lead from `version` to `newest`, or undefined when the history is too short. */
    since(version: number, newest: number): Increment[] | undefined {
        if (version === newest) {
            return [];
        }
        const wanted = newest - version;
        if (wanted < 0 || wanted > Math.min(this.limit, this.increments.length)) {
            return undefined;
        }
        const since = this.increments.slice(-wanted);
        return since[0]?.from === version ? since : undefined;
    }
}
