import type { CommandResult } from "./command-result.ts";
import type { KeptResult } from "./state.ts";

/** Results kept however old they are. */
export const minKeptResults = 10_000;
/** Every result is kept for at least this long (state time). */
export const minResultAgeMs = 24 * 3_600_000;

/** Results of operations, so that a resent operation gets its first answer (design question 13). */
export class OperationResults {
    /** In order of recording, oldest first. */
    private readonly kept = new Map<string, KeptResult>();

    constructor(results: readonly KeptResult[] = []) {
        results.forEach(result => this.kept.set(result.operationId, result));
    }

    find(operationId: string): CommandResult | undefined {
        return this.kept.get(operationId)?.result;
    }

    /** Records a result and drops results that are neither among the last 10,000 nor younger than 24 h. */
    record(operationId: string, result: CommandResult, stateTime: number): void {
        this.kept.set(operationId, { operationId, recordedAt: stateTime, result });
        for (const [oldest, { recordedAt }] of this.kept) {
            if (this.kept.size <= minKeptResults || stateTime - recordedAt <= minResultAgeMs) {
                break;
            }
            this.kept.delete(oldest);
        }
    }

    get size(): number {
        return this.kept.size;
    }

    toArray(): KeptResult[] {
        return [...this.kept.values()];
    }
}
