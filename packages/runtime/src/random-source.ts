import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers, injected so that decisions are reproducible from a seed. */
export abstract class RandomSource {
    /** Returns a number in [0, 1). */
    abstract next(): number;

    /** Returns an integer in [0, bound). */
    nextInt(bound: number): number {
        return Math.floor(this.next() * bound);
    }

    /** Returns `count` distinct elements of `items` in random order, or all of them when there are fewer. */
    sample<T>(items: readonly T[], count: number): T[] {
        const pool = [...items];
        const sampleSize = Math.min(count, pool.length);
        for (let i = 0; i < sampleSize; i++) {
            const j = i + this.nextInt(pool.length - i);
            const chosen = pool[j] as T;
            pool[j] = pool[i] as T;
            pool[i] = chosen;
        }
        return pool.slice(0, sampleSize);
    }
}

/** Deterministic source for tests and experiments; xoroshiro128+ from a 32-bit seed. */
export class SeededRandom extends RandomSource {
    private readonly generator;

    constructor(seed: number) {
        super();
        this.generator = xoroshiro128plus(seed);
    }

    override next(): number {
        return uniformFloat64(this.generator);
    }
}

/** Unseeded source for processes in operation. */
export class SystemRandom extends RandomSource {
    override next(): number {
        return Math.random();
    }
}
