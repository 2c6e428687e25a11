import type { RandomSource } from "@lentilramp/runtime";

/**
 * Random round robin over the members, shuffled anew after each round, so that the time between two probes of a member
 * by the same node is bounded (SWIM, section 4.3).
 */
export class ProbeOrder {
    private ids: string[] = [];
    private position = 0;

    constructor(private readonly random: RandomSource) {}

    /** Inserts a new member at a random place of the rest of the round. */
    add(id: string): void {
        const place = this.position + this.random.nextInt(this.ids.length - this.position + 1);
        const moved = this.ids[place];
        if (moved === undefined) {
            this.ids.push(id);
            return;
        }
        this.ids[place] = id;
        this.ids.push(moved);
    }

    /** Returns the next id for which `isProbed` holds; drops the others. */
    next(isProbed: (id: string) => boolean): string | undefined {
        for (let shuffled = false;;) {
            for (; this.position < this.ids.length; this.position++) {
                const id = this.ids[this.position] as string;
                if (isProbed(id)) {
                    this.position++;
                    return id;
                }
            }
            if (shuffled) {
                return undefined;
            }
            shuffled = true;
            this.ids = this.random.sample([...new Set(this.ids)].filter(isProbed), this.ids.length);
            this.position = 0;
        }
    }
}
