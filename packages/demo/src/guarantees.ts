/** One guarantee of the requirements, with the number of cases that were tried and that held. */
export interface GuaranteeCount {
    name: string;
    tried: number;
    held: number;
}

const guaranteeNames = {
    reclaim: "accepted model requests complete when their failure domain is reclaimed with notice",
    completeAnswer: "each caller receives the whole answer to their own request",
    notRun: "a request reported as not run was not run",
    atMostOnce: "a non-idempotent call is executed at most once",
    drain: "a leaving endpoint receives no new work after 3 s",
    plannedStop: "a planned stop cuts off no chat or summary in progress",
    configuration: "an accepted configuration is in force in every failure domain within 5 s and never reverts",
} as const;

export type GuaranteeId = keyof typeof guaranteeNames;

/** Counts the cases of each guarantee and records a description of each violation. */
export class GuaranteeTally {
    private readonly countsById = new Map<GuaranteeId, { tried: number; held: number; }>();
    readonly problems: string[] = [];

    recordCase(id: GuaranteeId, held: boolean, problem: string): void {
        const count = this.countsById.get(id) ?? { tried: 0, held: 0 };
        count.tried++;
        if (held) {
            count.held++;
        }
        else {
            this.problems.push(`${guaranteeNames[id]}: ${problem}`);
        }
        this.countsById.set(id, count);
    }

    /** The counts of all guarantees, including those without a case. */
    get counts(): GuaranteeCount[] {
        return (Object.keys(guaranteeNames) as GuaranteeId[]).map(id => ({
            name: guaranteeNames[id],
            ...(this.countsById.get(id) ?? { tried: 0, held: 0 }),
        }));
    }

    /** Whether each guarantee has at least one case and every case held. */
    get allHeld(): boolean {
        return this.counts.every(({ tried, held }) => tried > 0 && tried === held);
    }
}
