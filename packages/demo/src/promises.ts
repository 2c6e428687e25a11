/** One promise of the brief, how many cases were tried and how many held. */
export interface PromiseCount {
    name: string;
    tried: number;
    held: number;
}

const names = {
    reclaim: "accepted model requests complete when their failure domain is reclaimed with notice",
    whole: "each caller receives the whole answer to their own request",
    notRun: "a request reported as not run was not run",
    once: "a non-idempotent call is executed at most once",
    leaving: "a leaving endpoint receives no new work after 3 s",
    graceful: "a planned stop cuts off no chat or summary in progress",
    configuration: "an accepted configuration is in force in every failure domain within 5 s and never reverts",
} as const;

export type PromiseId = keyof typeof names;

/** Counts cases for each promise and keeps what went wrong. */
export class PromiseLedger {
    private readonly counts = new Map<PromiseId, { tried: number; held: number; }>();
    readonly problems: string[] = [];

    record(id: PromiseId, held: boolean, problem: string): void {
        const count = this.counts.get(id) ?? { tried: 0, held: 0 };
        count.tried++;
        if (held) {
            count.held++;
        }
        else {
            this.problems.push(`${names[id]}: ${problem}`);
        }
        this.counts.set(id, count);
    }

    /** All promises, also those without a case. */
    get promises(): PromiseCount[] {
        return (Object.keys(names) as PromiseId[]).map(id => ({
            name: names[id],
            ...(this.counts.get(id) ?? { tried: 0, held: 0 }),
        }));
    }

    /** True when every promise was tried and every case held. */
    get allHeld(): boolean {
        return this.promises.every(({ tried, held }) => tried > 0 && tried === held);
    }
}
