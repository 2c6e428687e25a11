import type { CommandResult } from "./command-result.ts";
import type { KeptResult } from "./state.ts";

/** Number of latest results that are retained regardless of their age. */
export const minKeptResults = 10_000;
/** Shortest retention of a result, in state time. */
export const minResultRetentionMs = 24 * 3_600_000;

/** Results of operations, from which a resent operation gets its first result (design question 13). */
export class OperationResults {
    /** Results by operation id, oldest first. */
    private readonly byOperation = new Map<string, KeptResult>();

    constructor(results: readonly KeptResult[] = []) {
        results.forEach(result => this.byOperation.set(result.operationId, result));
    }

    find(operationId: string): CommandResult | undefined {
        return this.byOperation.get(operationId)?.result;
    }

    /** Records a result and removes results that are neither among the latest 10,000 nor younger than 24 h. */
    record(operationId: string, result: CommandResult, stateTime: number): void {
        this.byOperation.set(operationId, { operationId, recordedAt: stateTime, result });
        for (const [oldest, { recordedAt }] of this.byOperation) {
            if (this.byOperation.size <= minKeptResults || stateTime - recordedAt <= minResultRetentionMs) {
                break;
            }
            this.byOperation.delete(oldest);
        }
    }

    get size(): number {
        return this.byOperation.size;
    }

    toArray(): KeptResult[] {
        return [...this.byOperation.values()];
    }
}
