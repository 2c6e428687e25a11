import { SeededRandom } from "@lentilramp/runtime";
import { mean, quantile, sampleWithReplacement } from "simple-statistics";

/** Resampled sets of pairs. */
const resamples = 4_000;
/** Part of the resampled means that lies inside the interval. */
const confidence = 0.95;
const resamplingSeed = 1;

/** Mean difference of pairs with a bootstrap interval; the interval is undefined for fewer than two pairs. */
export interface PairedDifference {
    mean: number;
    low: number | undefined;
    high: number | undefined;
}

/** Compares two series of which the members with the same index belong together. */
export function pairedDifference(base: readonly number[], change: readonly number[]): PairedDifference {
    if (base.length !== change.length || base.length === 0) {
        throw new RangeError(`pairs of ${base.length} and ${change.length} figures cannot be compared`);
    }
    const differences = base.map((value, i) => (change[i] ?? value) - value);
    if (differences.length < 2) {
        return { mean: mean(differences), low: undefined, high: undefined };
    }
    const random = new SeededRandom(resamplingSeed);
    const means = Array.from(
        { length: resamples },
        () => mean(sampleWithReplacement(differences, differences.length, () => random.next())),
    );
    const outside = (1 - confidence) / 2;
    return { mean: mean(differences), low: quantile(means, outside), high: quantile(means, 1 - outside) };
}
