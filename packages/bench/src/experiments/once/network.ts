import type { RandomSource } from "@lentilramp/runtime";

export type Direction = "request" | "reply";

/** Decides the fate of each message between an entry and a claim replica. */
export abstract class Network {
    /** Returns the delay in milliseconds of each delivery; an empty list is a loss, two delays are a duplicate. */
    abstract delays(direction: Direction, entry: string, replica: number, sequence: number): readonly number[];
}

/** Delivers each message once after a fixed delay for each pair. */
export class SteadyNetwork extends Network {
    constructor(private readonly delayMs: (entry: string, replica: number) => number) {
        super();
    }

    override delays(direction: Direction, entry: string, replica: number): readonly number[] {
        void direction;
        return [this.delayMs(entry, replica)];
    }
}

export interface RandomNetworkOptions {
    loss: number;
    duplicate: number;
    /** Share of messages that are delayed by up to `longMs`. */
    slow: number;
    longMs: number;
}

export class RandomNetwork extends Network {
    constructor(private readonly random: RandomSource, private readonly options: RandomNetworkOptions) {
        super();
    }

    override delays(): readonly number[] {
        const { loss, duplicate, slow, longMs } = this.options;
        const delay = () => 1 + this.random.next() * (this.random.next() < slow ? longMs : 10);
        if (this.random.next() < loss) {
            return [];
        }
        return this.random.next() < duplicate ? [delay(), delay()] : [delay()];
    }
}
