import type { IncomingMessage } from "node:http";
import { type EngineEvent, EngineEventReader } from "./engine-events.ts";

/** What the reader of an answer does with a batch of events; `ended` stops the reading. */
export type BatchResult = { kind: "continue"; wait: Promise<void> | undefined; } | { kind: "ended"; };

/**
 * Reads an engine's answer in batches, one for each part that arrives. Resolves when `onBatch` ends the reading or when
 * the answer ends; rejects when the connection breaks or an event cannot be read. While a batch waits for the caller,
 * the connection to the engine is paused, so that back-pressure reaches the engine.
 */
export function readEngineAnswer(
    res: IncomingMessage,
    firstOffset: number,
    onBatch: (events: readonly EngineEvent[]) => BatchResult,
): Promise<void> {
    return new Promise((resolve, reject) => {
        const reader = new EngineEventReader(firstOffset);
        let ended = false;
        const onData = (part: string): void => {
            if (ended) {
                return;
            }
            try {
                const result = onBatch(reader.feed(part));
                if (result.kind === "ended") {
                    ended = true;
                    resolve();
                }
                else if (result.wait !== undefined) {
                    res.pause();
                    void result.wait.then(() => res.resume());
                }
            }
            catch (err) {
                ended = true;
                reject(err instanceof Error ? err : new Error(String(err)));
            }
        };
        res.setEncoding("utf8");
        res.on("data", onData);
        res.on("end", resolve);
        res.on("error", reject);
        res.on("close", resolve);
    });
}
