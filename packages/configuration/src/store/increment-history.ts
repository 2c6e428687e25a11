import type { Increment } from "../change/change.ts";

/** Default number of retained increments; at 14,000 changes a day they cover about 100 min. */
export const defaultHistoryLimit = 1_000;

/** Latest increments, without a gap between them. */
export class IncrementHistory {
    private increments: Increment[] = [];

    constructor(private readonly limit = defaultHistoryLimit) {}

    /** Appends an increment. One that doesn't follow the last increment clears the history first. */
    add(increment: Increment): void {
        if (this.increments.length > 0 && this.increments.at(-1)?.to !== increment.from) {
            this.clear();
        }
        this.increments.push(increment);
        if (this.increments.length > 2 * this.limit) {
            // Trims in blocks, because trimming at each change would copy the whole array each time.
            this.increments = this.increments.slice(-this.limit);
        }
    }

    clear(): void {
        this.increments = [];
    }

    /** Returns the increments from `version` to `newest`, or undefined when the history doesn't cover them. */
    since(version: number, newest: number): Increment[] | undefined {
        if (version === newest) {
            return [];
        }
        const count = newest - version;
        if (count < 0 || count > Math.min(this.limit, this.increments.length)) {
            return undefined;
        }
        const since = this.increments.slice(-count);
        return since[0]?.from === version ? since : undefined;
    }
}
