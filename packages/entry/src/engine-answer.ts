import { discardResponse, type ReadScheduler } from "@lentilramp/protocol";
import type { IncomingMessage } from "node:http";
import { StringDecoder } from "node:string_decoder";
import { type EngineEvent, EngineEventReader } from "./engine-events.ts";

/**
 * Result of handling a batch of events. With `continue`, reading resumes once `drained` resolves, or at once when it is
 * undefined; `ended` stops reading.
 */
export type BatchResult = { kind: "continue"; drained: Promise<void> | undefined; } | { kind: "ended"; };

/**
 * Handles the events of one network read. `raw` holds the bytes read when they consist only of complete events in the
 * plain form, so that they can be forwarded unchanged; otherwise it is undefined.
 */
export type BatchHandler = (events: readonly EngineEvent[], raw: Buffer | undefined) => BatchResult;

/**
 * Reads an engine's answer in batches, one for each network read. Resolves when `onBatch` stops reading or when the
 * answer ends; rejects when the connection breaks or an event cannot be parsed. The connection to the engine is paused
 * until the caller has drained a batch, which propagates backpressure to the engine. Answers are read in turns, so that
 * one in tiny chunks does not take the event loop from the others.
 */
export function readEngineAnswer(
    res: IncomingMessage,
    firstOffset: number,
    scheduler: ReadScheduler,
    onBatch: BatchHandler,
): Promise<void> {
    return new Promise((resolve, reject) => {
        const reader = new EngineEventReader(firstOffset);
        let ended = false;
        // After the end of the answer, its connection belongs to the next request.
        const share = scheduler.open(() => res.complete ? undefined : res.socket);
        const decoder = new StringDecoder("utf8");
        const onData = (data: Buffer): void => {
            share.record(data.length, 1);
            if (ended) {
                return;
            }
            try {
                const events = reader.feed(decoder.write(data));
                const result = onBatch(events, reader.canForwardVerbatim ? data : undefined);
                if (result.kind === "ended") {
                    ended = true;
                    discardResponse(res);
                    resolve();
                }
                else if (result.drained !== undefined) {
                    res.pause();
                    void result.drained.then(() => res.resume());
                }
            }
            catch (err) {
                ended = true;
                res.destroy();
                reject(err instanceof Error ? err : new Error(String(err)));
            }
        };
        res.on("data", onData);
        res.on("end", resolve);
        res.on("error", reject);
        res.on("close", resolve);
    });
}
