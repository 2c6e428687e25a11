import type { RandomSource } from "@lentilramp/runtime";
import type { MemberTable } from "./member-table.ts";
import { type Candidate, isLive } from "./member.ts";

/**
 * Instances from the platform's list, which may be probed to discover members. The list lags, so it is not used to
 * decide whether a member is alive or dead.
 */
export class CandidateList {
    private candidates = new Map<string, Candidate>();
    private untriedIds = new Set<string>();

    constructor(private readonly selfId: string, private readonly random: RandomSource) {}

    /** Replaces the list and sets `leaving` of each member in `table`. */
    replace(list: readonly Candidate[], table: MemberTable): void {
        const others = list.filter(candidate => candidate.id !== this.selfId);
        others.forEach(({ id }) => {
            if (!this.candidates.has(id)) {
                this.untriedIds.add(id);
            }
        });
        this.candidates = new Map(others.map(candidate => [candidate.id, candidate]));
        for (const member of table.values()) {
            member.leaving = this.isLeaving(member.id);
        }
    }

    isLeaving(id: string): boolean {
        return this.candidates.get(id)?.leaving === true;
    }

    get size(): number {
        return this.candidates.size;
    }

    /** Returns a random instance of the list; undefined when the list is empty. */
    sample(): Candidate | undefined {
        return this.random.sample([...this.candidates.values()], 1)[0];
    }

    /** Removes and returns an instance that was not probed before and is not a live member. */
    takeUntried(table: MemberTable): Candidate | undefined {
        for (const id of this.untriedIds) {
            this.untriedIds.delete(id);
            const candidate = this.candidates.get(id);
            const status = table.get(id)?.status;
            if (candidate !== undefined && (status === undefined || !isLive(status))) {
                return candidate;
            }
        }
        return undefined;
    }

    /** Returns a random member that is not live, or a listed instance that is not in `table`. */
    sampleNotLive(table: MemberTable): { id: string; host: string; port: number; } | undefined {
        const notLive = [...table.values()].filter(({ status }) => !isLive(status));
        const unknown = [...this.candidates.values()].filter(({ id }) => table.get(id) === undefined);
        return this.random.sample([...notLive, ...unknown], 1)[0];
    }
}
