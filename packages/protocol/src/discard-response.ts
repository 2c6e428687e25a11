import type { IncomingMessage } from "node:http";

/** What a chunk of a body costs besides its bytes, expressed in bytes. */
export const chunkCostBytes = 64;

/** Cost of an unused response, in bytes, above which its connection is closed instead of kept. */
const discardLimitCost = 65_536;
/** Time for which an unused response is read before its connection is closed, in milliseconds. */
const discardTimeoutMs = 1_000;

/** Reads a short unused response to its end, so that its connection can be kept. */
export function discardResponse(res: IncomingMessage): void {
    let cost = 0;
    const timer = setTimeout(() => res.destroy(), discardTimeoutMs);
    // An error while an unused response is read is not a failure of the request.
    res.on("error", () => undefined);
    res.on("close", () => clearTimeout(timer));
    res.on("data", (chunk: Buffer) => {
        cost += chunk.length + chunkCostBytes;
        if (cost > discardLimitCost) {
            res.destroy();
        }
    });
}
