import type { IncomingMessage } from "node:http";
import { StringDecoder } from "node:string_decoder";
import { type EngineEvent, EngineEventReader } from "./engine-events.ts";

/** What the reader of an answer does with a batch of events; `ended` stops the reading. */
export type BatchResult = { kind: "continue"; wait: Promise<void> | undefined; } | { kind: "ended"; };

/**
 * Takes the events of one part. `raw` is the part itself when it holds whole events of the plain form and nothing else,
 * so that it can be passed on as it is.
 */
export type BatchHandler = (events: readonly EngineEvent[], raw: Buffer | undefined) => BatchResult;

/**
 * Reads an engine's answer in batches, one for each part that arrives. Resolves when `onBatch` ends the reading or when
 * the answer ends; rejects when the connection breaks or an event cannot be read. While a batch waits for the caller,
 * the connection to the engine is paused, so that back-pressure reaches the engine.
 */
export function readEngineAnswer(
    res: IncomingMessage,
    firstOffset: number,
    onBatch: BatchHandler,
): Promise<void> {
    return new Promise((resolve, reject) => {
        const reader = new EngineEventReader(firstOffset);
        let ended = false;
        const decoder = new StringDecoder("utf8");
        const onData = (part: Buffer): void => {
            if (ended) {
                return;
            }
            try {
                const events = reader.feed(decoder.write(part));
                const result = onBatch(events, reader.wholePlainPart ? part : undefined);
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
        res.on("data", onData);
        res.on("end", resolve);
        res.on("error", reject);
        res.on("close", resolve);
    });
}
