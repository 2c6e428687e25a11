import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as (options?: { type: "minor"; }) => void;

/** Room for what a test process keeps besides what is measured, in bytes. */
export const heapNoiseBytes = 4 * 1_048_576;

/** Returns the number of bytes that this process keeps, garbage left out. */
export function liveBytes(): number {
    // Buffers that a collection finds unused are freed, and no longer counted, by the next one.
    collectGarbage();
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

/** Collects young objects only, as V8 does most of the time. */
export function collectYoungGarbage(): void {
    // What is referenced from the stack of a first collection may be unused in the second.
    collectGarbage({ type: "minor" });
    collectGarbage({ type: "minor" });
}
