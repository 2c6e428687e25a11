import type { RandomSource } from "@lentilramp/runtime";
import type { MemberTable } from "./member-table.ts";
import { type Candidate, isLive } from "./member.ts";

/** The platform's lagging list, as a source of members to try; it never says that a member is alive or dead. */
export class Candidates {
    private listed = new Map<string, Candidate>();
    private untried = new Set<string>();

    constructor(private readonly self: string, private readonly random: RandomSource) {}

    /** Takes the newest list and marks the members that it names as leaving. */
    replace(list: readonly Candidate[], table: MemberTable): void {
        const others = list.filter(candidate => candidate.id !== this.self);
        others.forEach(({ id }) => {
            if (!this.listed.has(id)) {
                this.untried.add(id);
            }
        });
        this.listed = new Map(others.map(candidate => [candidate.id, candidate]));
        for (const member of table.values()) {
            member.leaving = this.isLeaving(member.id);
        }
    }

    isLeaving(id: string): boolean {
        return this.listed.get(id)?.leaving === true;
    }

    get size(): number {
        return this.listed.size;
    }

    /** Returns a random listed instance. */
    any(): Candidate | undefined {
        return this.random.sample([...this.listed.values()], 1)[0];
    }

    /** Returns an instance that was never tried and is not a live member. */
    takeUntried(table: MemberTable): Candidate | undefined {
        for (const id of this.untried) {
            this.untried.delete(id);
            const candidate = this.listed.get(id);
            const status = table.get(id)?.status;
            if (candidate !== undefined && (status === undefined || !isLive(status))) {
                return candidate;
            }
        }
        return undefined;
    }

    /** Returns a random address among listed instances and known members that are not live. */
    anyNotLive(table: MemberTable): { id: string; host: string; port: number; } | undefined {
        const dead = [...table.values()].filter(({ status }) => !isLive(status));
        const unknown = [...this.listed.values()].filter(({ id }) => table.get(id) === undefined);
        return this.random.sample([...dead, ...unknown], 1)[0];
    }
}
