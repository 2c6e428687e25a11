import { setImmediate } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/**
 * Collections after which a list counts as kept. V8 optimizes functions on other threads and references their closures, and
 * the lists that these use, until it has finished: some lists outlived 9 collections on a busy machine.
 */
const maxCollections = 100;

/**
 * Collects garbage until none of the lists is left, and returns their lengths; undefined for one that has been freed. A
 * list that is still referenced survives any number of collections.
 */
export async function lengthsAfterCollections(
    lists: readonly WeakRef<readonly unknown[]>[],
): Promise<(number | undefined)[]> {
    let lengths: (number | undefined)[] = [];
    for (let i = 0; i < maxCollections; i++) {
        // References that have been created or read are cleared in a later turn of the event loop.
        await setImmediate();
        collectGarbage();
        lengths = lists.map(ref => ref.deref()?.length);
        if (lengths.every(length => length === undefined)) {
            break;
        }
    }
    return lengths;
}
