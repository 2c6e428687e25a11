import { createParser } from "eventsource-parser";
import type { IncomingMessage } from "node:http";

/** One event of an engine's stream. */
export type EngineEvent =
    | { kind: "token"; offset: number; text: string; chunk: string; }
    | { kind: "done"; };

interface Chunk {
    token_offset?: number;
    choices?: { delta?: { content?: string; }; }[];
}

/** An engine sent something that is not an event of the chat interface. */
export class EngineProtocolError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "EngineProtocolError";
    }
}

function parseChunk(data: string, expectedOffset: number): EngineEvent {
    let chunk: Chunk;
    try {
        chunk = JSON.parse(data) as Chunk;
    }
    catch {
        throw new EngineProtocolError("an event of the engine is not valid JSON");
    }
    const text = chunk.choices?.[0]?.delta?.content ?? "";
    return { kind: "token", offset: chunk.token_offset ?? expectedOffset, text, chunk: data };
}

/** Reads the events of an engine's answer. `firstOffset` numbers the tokens of engines that state no offsets. */
export async function* readEngineEvents(res: IncomingMessage, firstOffset: number): AsyncGenerator<EngineEvent> {
    const events: string[] = [];
    const parser = createParser({ onEvent: event => events.push(event.data) });
    let expectedOffset = firstOffset;
    res.setEncoding("utf8");
    for await (const part of res as AsyncIterable<string>) {
        parser.feed(part);
        for (const data of events.splice(0)) {
            if (data === "[DONE]") {
                yield { kind: "done" };
                return;
            }
            const event = parseChunk(data, expectedOffset);
            if (event.kind === "token") {
                expectedOffset = event.offset + 1;
            }
            yield event;
        }
    }
}
