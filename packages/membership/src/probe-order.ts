import type { RandomSource } from "@lentilramp/runtime";

/**
 * Randomized round robin over the members, reshuffled after each round. This bounds the time between two probes of a
 * member by the same node (SWIM, section 4.3).
 */
export class ProbeOrder {
    private ids: string[] = [];
    private nextIndex = 0;

    constructor(private readonly random: RandomSource) {}

    /** Inserts a new member at a random position in the rest of the round. */
    add(id: string): void {
        const index = this.nextIndex + this.random.nextInt(this.ids.length - this.nextIndex + 1);
        const displacedId = this.ids[index];
        if (displacedId === undefined) {
            this.ids.push(id);
            return;
        }
        this.ids[index] = id;
        this.ids.push(displacedId);
    }

    /** Returns the next id for which `isProbeable` returns true. Other ids are removed at the end of the round. */
    next(isProbeable: (id: string) => boolean): string | undefined {
        for (let shuffled = false;;) {
            for (; this.nextIndex < this.ids.length; this.nextIndex++) {
                const id = this.ids[this.nextIndex] as string;
                if (isProbeable(id)) {
                    this.nextIndex++;
                    return id;
                }
            }
            if (shuffled) {
                return undefined;
            }
            shuffled = true;
            this.ids = this.random.sample([...new Set(this.ids)].filter(isProbeable), this.ids.length);
            this.nextIndex = 0;
        }
    }
}
